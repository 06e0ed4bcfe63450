// Package seamslot maps the keys of a service to slots, the units of ownership.
package seamslot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a slot of a service.
type ID struct {
	// Service is the name of the keyed service.
	Service string `json:"service"`
	// Index is the zero-based number of the slot.
	Index uint32 `json:"index"`
}

// String returns the ID in the form service/index.
func (i ID) String() string {
	return fmt.Sprintf("%s/%d", i.Service, i.Index)
}

// Range is the half-open range [From, To) of slots of a service. seamtable.Span, by contrast, includes its upper end.
type Range struct {
	Service string `json:"service"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Contains reports whether the slot lies in the range.
func (r Range) Contains(id ID) bool {
	return r.Service == id.Service && id.Index >= r.From && id.Index < r.To
}

// Len returns the number of slots in the range.
func (r Range) Len() uint32 {
	return r.To - r.From
}

// Hash maps a key to a slot in [from, to), which must not be empty.
func Hash(key string, from, to uint32) uint32 {
	return from + uint32(xxhash.Sum64String(key)%uint64(to-from))
}
