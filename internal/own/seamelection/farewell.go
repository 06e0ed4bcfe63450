package seamelection

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
)

// farewellLimit is the number of former assigners that are remembered for each service.
const farewellLimit = 16

// Farewell is the word of an assigner that it promises keys of a service no longer.
type Resignation struct {
	Service  string
	Assigner seamtable.Assigner
	// Over is the time after which none of its promises is in force.
	ExpiresAt seamclock.Instant
}

// Wire returns the word in wire form.
func (f Resignation) Wire(now seamclock.Instant) *wire.Farewell {
	over := max(seamclock.MaxElapsed(f.ExpiresAt, now), 0)
	return &wire.Farewell{Service: f.Service, Assigner: f.Assigner.ToWire(), Over: (over + time.Millisecond - 1).Milliseconds()}
}

// FarewellOf returns the word of a wire form that has just arrived.
func ResignationOf(now seamclock.Instant, w *wire.Farewell) Resignation {
	over := time.Duration(w.GetOver()) * time.Millisecond
	return Resignation{
		Service:   w.GetService(),
		Assigner:  seamtable.AssignerFromWire(w.GetAssigner()),
		ExpiresAt: now.Add(seamassign.DefaultConfig().MaxRemoteDuration(over)),
	}
}

// DecodeFarewell returns the word that another node has kept.
func DecodeResignation(now seamclock.Instant, value []byte) (Resignation, error) {
	w := new(wire.Farewell)
	if err := proto.Unmarshal(value, w); err != nil {
		return Resignation{}, err
	}
	return ResignationOf(now, w), nil
}

// Resigned returns the time after which no promise of an assigner is in force; false if it has not said that it
// promises nothing any more.
func (r *Registry) ResignationExpiry(service string, a seamtable.Assigner) (over seamclock.Instant, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.farewells[service] {
		if f.Assigner.Covers(a) {
			return f.ExpiresAt, true
		}
	}
	return seamclock.Instant{}, false
}

// Resign takes note of a word, unless it is known already.
func (r *Registry) AddResignation(f Resignation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.farewells[f.Service]
	for _, known := range list {
		if known.Assigner == f.Assigner {
			return
		}
	}
	r.farewells[f.Service] = append(list[max(len(list)+1-farewellLimit, 0):], f)
}

// Farewells returns the words that are remembered.
func (r *Registry) Resignations() []Resignation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Resignation
	for _, list := range r.farewells {
		all = append(all, list...)
	}
	return all
}
