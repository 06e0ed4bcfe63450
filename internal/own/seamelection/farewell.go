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
type Farewell struct {
	Service  string
	Assigner seamtable.Assigner
	// Over is the time after which none of its promises is in force.
	Over seamclock.Instant
}

// Wire returns the word in wire form.
func (f Farewell) Wire(now seamclock.Instant) *wire.Farewell {
	over := max(seamclock.MaxElapsed(f.Over, now), 0)
	return &wire.Farewell{Service: f.Service, Assigner: f.Assigner.ToWire(), Over: (over + time.Millisecond - 1).Milliseconds()}
}

// FarewellOf returns the word of a wire form that has just arrived.
func FarewellOf(now seamclock.Instant, w *wire.Farewell) Farewell {
	over := time.Duration(w.GetOver()) * time.Millisecond
	return Farewell{
		Service:  w.GetService(),
		Assigner: seamtable.AssignerFromWire(w.GetAssigner()),
		Over:     now.Add(seamassign.DefaultConfig().MaxRemoteDuration(over)),
	}
}

// DecodeFarewell returns the word that another node has kept.
func DecodeFarewell(now seamclock.Instant, value []byte) (Farewell, error) {
	w := new(wire.Farewell)
	if err := proto.Unmarshal(value, w); err != nil {
		return Farewell{}, err
	}
	return FarewellOf(now, w), nil
}

// Resigned returns the time after which no promise of an assigner is in force; false if it has not said that it
// promises nothing any more.
func (r *Registry) Resigned(service string, a seamtable.Assigner) (over seamclock.Instant, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.farewells[service] {
		if f.Assigner.Covers(a) {
			return f.Over, true
		}
	}
	return seamclock.Instant{}, false
}

// Resign takes note of a word, unless it is known already.
func (r *Registry) Resign(f Farewell) {
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
func (r *Registry) Farewells() []Farewell {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Farewell
	for _, list := range r.farewells {
		all = append(all, list...)
	}
	return all
}
