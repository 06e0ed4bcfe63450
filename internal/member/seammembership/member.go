// Package seammembership knows the nodes and their targets. Each node keeps one entry in the
// store that vanishes with the node's lease; all nodes follow the entries.
package seammembership

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/member/seamentrywire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamtable"
)

// Target is what a target has announced to its node.
type Target struct {
	Service string
	// ID identifies the target, and Born one life of it, in milliseconds since the Unix epoch.
	ID      string
	Started int64
	// Address is the ip:port at which the target takes requests.
	Address string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Leaving says that the target is about to stop and wants no new work.
	Leaving bool
	// Down says that the target does not accept connections.
	Down bool
}

// Holder returns the life of the target as a holder of keys.
func (t Target) Holder() seamtable.Holder {
	return seamtable.Holder{Target: t.ID, Born: t.Started, Address: t.Address}
}

// Member is one node with its target.
type Member struct {
	Peer seampeer.Peer
	// Leaving says that the node is about to stop.
	Leaving bool
	// Target is the target beside the node; its ID is empty if there is none.
	Target Target
}

// InvalidEntryError says that an entry in the store names no node.
type InvalidEntryError struct {
	Key   string
	Field string
}

// Error names the key and the field.
func (e *InvalidEntryError) Error() string {
	return "entry " + e.Key + " has no valid " + e.Field
}

// Encode returns the member in wire form.
func Encode(m Member) *wire.Entry {
	e := &wire.Entry{
		Name:        m.Peer.Name,
		Incarnation: m.Peer.Incarnation,
		Address:     m.Peer.Address,
		Region:      m.Peer.Region,
		Domain:      m.Peer.Domain,
		Leaving:     m.Leaving,
	}
	if m.Target.ID != "" {
		e.Target = &wire.Target{
			Service: m.Target.Service,
			Id:      m.Target.ID,
			Born:    m.Target.Started,
			Address: m.Target.Address,
			Slots:   int32(m.Target.Slots),
			Leaving: m.Target.Leaving,
			Down:    m.Target.Down,
		}
	}
	return e
}

// read reads an entry of the store. The error is *InvalidEntryError if it names no node.
func read(key string, value []byte) (Member, error) {
	e := new(wire.Entry)
	if err := proto.Unmarshal(value, e); err != nil {
		return Member{}, errors.Wrapf(err, "entry %s", key)
	}
	if key != KeyPrefix+e.GetName() {
		return Member{}, &InvalidEntryError{Key: key, Field: "name"}
	}
	return Decode(e)
}

// Decode returns the member of a wire form. The error is *InvalidEntryError if it names no node.
func Decode(e *wire.Entry) (Member, error) {
	key := KeyPrefix + e.GetName()
	switch {
	case e.GetName() == "":
		return Member{}, &InvalidEntryError{Key: key, Field: "name"}
	case e.GetAddress() == "":
		return Member{}, &InvalidEntryError{Key: key, Field: "address"}
	}
	t := e.GetTarget()
	return Member{
		Peer: seampeer.Peer{
			Name:        e.GetName(),
			Incarnation: e.GetIncarnation(),
			Address:     e.GetAddress(),
			Region:      e.GetRegion(),
			Domain:      e.GetDomain(),
		},
		Leaving: e.GetLeaving(),
		Target: Target{
			Service: t.GetService(),
			ID:      t.GetId(),
			Started: t.GetBorn(),
			Address: t.GetAddress(),
			Slots:   int(t.GetSlots()),
			Leaving: t.GetLeaving(),
			Down:    t.GetDown(),
		},
	}, nil
}
