// Package seamslot maps the keys of a service to slots, the units of ownership.
package seamslot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ID names one slot of one service.
type ID struct {
	// Service is the name of the keyed service.
	Service string `json:"service"`
	// Index is the number of the slot, from 0.
	Index uint32 `json:"index"`
}

// String returns service/index.
func (i ID) String() string {
	return fmt.Sprintf("%s/%d", i.Service, i.Index)
}

// Range is a run of slots [From, To) of one service.
type Range struct {
	Service string `json:"service"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Has reports whether the slot lies in the range.
func (r Range) Contains(id ID) bool {
	return r.Service == id.Service && id.Index >= r.From && id.Index < r.To
}

// Len returns the number of slots in the range.
func (r Range) Len() uint32 {
	return r.To - r.From
}

// Hash maps the key to a slot in [from, to).
func Hash(key string, from, to uint32) uint32 {
	return from + uint32(xxhash.Sum64String(key)%uint64(to-from))
}
