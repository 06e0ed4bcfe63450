// Package seammembership tracks the nodes and their targets. Each node maintains one entry in the store, which the store
// removes when the node's store lease expires. All nodes watch the entries.
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
	// Started is the start time of this incarnation of the target, in milliseconds since the Unix epoch. Its JSON key
	// is Born.
	Started int64 `json:"Born"`
	// Address is the ip:port at which the target accepts requests.
	Address string
	// Slots is the maximum number of requests that the target executes concurrently; it is unrelated to seamslot.
	Slots int
	// Leaving reports whether the target is shutting down and accepts no new requests.
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
	// Leaving reports whether the node is shutting down.
	Leaving bool
	// Memory is the memory limit of the node, in MiB; 0 means none.
	Memory int
	// Target is the node's target; its ID is empty if there is none.
	Target Target
	// Poison is what the node has seen of requests that crash targets, an encoded report of package seampoison.
	Poison string
}

// InvalidEntryError reports that an entry identifies no node: a field is missing or does not match the key of the entry.
type InvalidEntryError struct {
	Key   string
	Field string
}

// Error returns a message with the key and the field.
func (e *InvalidEntryError) Error() string {
	return "entry " + e.Key + " has no valid " + e.Field
}

// MemberToWire converts a member to its wire message.
func MemberToWire(m Member) *wire.Entry {
	e := &wire.Entry{
		Name:        m.Peer.Name,
		Incarnation: m.Peer.Incarnation,
		Address:     m.Peer.Address,
		Region:      m.Peer.Region,
		Domain:      m.Peer.Domain,
		Leaving:     m.Leaving,
		Memory:      int32(m.Memory),
		Poison:      []byte(m.Poison),
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

// decodeEntry decodes an entry in the store. The error is *InvalidEntryError if its name does not match the key or its
// address is missing.
func decodeEntry(key string, value []byte) (Member, error) {
	e := new(wire.Entry)
	if err := proto.Unmarshal(value, e); err != nil {
		return Member{}, errors.Wrapf(err, "decode entry %s", key)
	}
	if key != KeyPrefix+e.GetName() {
		return Member{}, &InvalidEntryError{Key: key, Field: "name"}
	}
	return MemberFromWire(e)
}

// MemberFromWire converts a member from its wire message. The error is *InvalidEntryError if it has no name or no address.
func MemberFromWire(e *wire.Entry) (Member, error) {
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
		Memory:  int(e.GetMemory()),
		Poison:  string(e.GetPoison()),
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
