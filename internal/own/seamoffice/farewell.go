package seamoffice

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
)

// farewellLimit is the number of former assigners that are remembered for each service.
const farewellLimit = 16

// Resigned reports whether an assigner has said that it promises keys of the service no longer.
func (r *Registry) Resigned(service string, a seamtable.Assigner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.resigned[service], func(former seamtable.Assigner) bool { return former.Covers(a) })
}

// Resign takes note of the word of an assigner that it promises keys of the service no longer.
func (r *Registry) Resign(service string, a seamtable.Assigner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.resigned[service], a) {
		return
	}
	r.resigned[service] = append(r.resigned[service], a)
	if extra := len(r.resigned[service]) - farewellLimit; extra > 0 {
		r.resigned[service] = r.resigned[service][extra:]
	}
}

// Farewells returns the words of all former assigners that are remembered, in wire form.
func (r *Registry) Farewells() []*wire.Farewell {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*wire.Farewell
	for service, former := range r.resigned {
		for _, a := range former {
			list = append(list, WireFarewell(service, a))
		}
	}
	return list
}

// WireFarewell returns the word of a former assigner in wire form.
func WireFarewell(service string, a seamtable.Assigner) *wire.Farewell {
	return &wire.Farewell{Service: service, Assigner: a.Wire()}
}

// Heard takes the word of a former assigner from its wire form.
func (r *Registry) Heard(w *wire.Farewell) {
	r.Resign(w.GetService(), seamtable.AssignerOf(w.GetAssigner()))
}

// HeardEncoded takes the encoded word of a former assigner.
func (r *Registry) HeardEncoded(value []byte) error {
	w := new(wire.Farewell)
	if err := proto.Unmarshal(value, w); err != nil {
		return err
	}
	r.Heard(w)
	return nil
}
