// Package seammembership tracks the nodes and their targets. Each node maintains one entry in the store, which is removed
// when the node's lease expires; all nodes watch the entries.
package seammembership

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/member/seamentrywire"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamtable"
)

// Target describes a target as it announced itself to its node.
type Target struct {
	Service string
	// ID identifies the target.
	ID string
	// Started is the start time of this incarnation of the target, in milliseconds since the Unix epoch. It keeps the
	// key Born in JSON.
	Started int64 `json:"Born"`
	// Address is the ip:port at which the target accepts requests.
	Address string
	// Slots is the maximum number of requests that the target runs concurrently.
	Slots int
	// Leaving reports whether the target is about to stop and accepts no new work.
	Leaving bool
	// Down reports whether the target accepts no connections.
	Down bool
}

// Holder returns the target's incarnation as a holder of keys.
func (t Target) Holder() seamtable.Holder {
	return seamtable.Holder{Target: t.ID, Born: t.Started, Address: t.Address}
}

// Member is a node with its target.
type Member struct {
	Peer seampeer.Peer
	// Leaving reports whether the node is about to stop.
	Leaving bool
	// Target is the target beside the node; its ID is empty if there is none.
	Target Target
}

// InvalidEntryError reports that an entry has a missing or wrong field, so that it identifies no node.
type InvalidEntryError struct {
	Key   string
	Field string
}

// Error implements error.
func (e *InvalidEntryError) Error() string {
	return "entry " + e.Key + " has no valid " + e.Field
}

// Encode encodes the member in wire form.
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

// decodeEntry decodes an entry of the store. The error is *InvalidEntryError if the entry has no valid name or address.
func decodeEntry(key string, value []byte) (Member, error) {
	e := new(wire.Entry)
	if err := proto.Unmarshal(value, e); err != nil {
		return Member{}, errors.Wrapf(err, "entry %s", key)
	}
	if key != KeyPrefix+e.GetName() {
		return Member{}, &InvalidEntryError{Key: key, Field: "name"}
	}
	return Decode(e)
}

// Decode decodes a wire form. The error is *InvalidEntryError if it has no name or no address.
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
