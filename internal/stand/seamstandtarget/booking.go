package seamstandtarget

import (
	"sort"
	"sync"
)

// Booking is one booking under a key, identified by the ID of the request that made it.
type Booking struct {
	Key string `json:"key"`
	ID  string `json:"id"`
}

// bookings stores the target's bookings. It is safe for concurrent use.
type bookings struct {
	mu sync.Mutex
	// slots holds the booking IDs by slot and key.
	slots map[uint32]map[string][]string
}

func newBookings() *bookings {
	return &bookings{slots: map[uint32]map[string][]string{}}
}

// add stores a booking and reports whether it was already stored.
func (b *bookings) add(slot uint32, booking Booking) (duplicate bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addLocked(slot, booking)
}

func (b *bookings) addLocked(slot uint32, booking Booking) bool {
	keys := b.slots[slot]
	if keys == nil {
		keys = map[string][]string{}
		b.slots[slot] = keys
	}
	for _, id := range keys[booking.Key] {
		if id == booking.ID {
			return true
		}
	}
	keys[booking.Key] = append(keys[booking.Key], booking.ID)
	return false
}

// merge stores those bookings in list that are not stored yet.
func (b *bookings) merge(slot uint32, list []Booking) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range list {
		b.addLocked(slot, x)
	}
}

// idsOf returns the IDs of the bookings under a key, in order of arrival.
func (b *bookings) idsOf(slot uint32, key string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.slots[slot][key]...)
}

// bySlot returns all bookings of a slot, sorted by key and, under each key, in order of arrival.
func (b *bookings) bySlot(slot uint32) []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Booking
	for key, ids := range b.slots[slot] {
		for _, id := range ids {
			list = append(list, Booking{Key: key, ID: id})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}
