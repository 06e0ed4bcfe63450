package seamcheck

import (
	"math"
	"sort"

	"cardamomseam/internal/stand/seamstandtarget"
)

// slotKey identifies a slot of a service.
type slotKey struct {
	service string
	index   uint32
}

// ownership is a period during which a server owned a slot. Times are in nanoseconds since the
// Unix epoch.
type ownership struct {
	server   string
	epoch    uint64
	from, to int64
}

// ownerships derives from the execution logs when each slot was owned by which server.
func ownerships(observations Observations) map[slotKey][]ownership {
	servers := map[string][]seamstandtarget.ExecutionRecord{}
	for _, x := range observations.ExecutionLog {
		if x.Kind == seamstandtarget.KindGrant || x.Kind == seamstandtarget.KindReleased {
			servers[x.Server] = append(servers[x.Server], x)
		}
	}
	all := map[slotKey][]ownership{}
	for name, lines := range servers {
		exitTime := int64(math.MaxInt64)
		if t, ok := observations.ExitTimes[name]; ok {
			exitTime = t.UnixNano()
		}
		h := newOwnershipTracker(name, exitTime, all)
		sort.SliceStable(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
		for _, x := range lines {
			h.apply(x)
		}
		h.finish()
	}
	return all
}

// ownershipTracker derives the ownerships of one server from its grants and releases.
type ownershipTracker struct {
	server string
	// exitTime is the time at which the server exited.
	exitTime  int64
	expiresAt int64
	current   map[uint32]ownership
	// service is the service of the owned slots.
	service string
	all     map[slotKey][]ownership
}

func newOwnershipTracker(server string, exitTime int64, all map[slotKey][]ownership) *ownershipTracker {
	return &ownershipTracker{server: server, exitTime: exitTime, current: map[uint32]ownership{}, all: all}
}

func (h *ownershipTracker) apply(x seamstandtarget.ExecutionRecord) {
	h.service = x.Service
	if x.Kind == seamstandtarget.KindReleased {
		h.release(x.Slot, x.At)
		return
	}
	if h.expiresAt < x.At {
		h.restart(x.At)
	}
	if x.HeldChanged {
		h.setSlots(x)
	}
	h.expiresAt = x.ExpiresAt
}

// restart ends the ownerships at the expiry of the last grant and starts new ones at now.
func (h *ownershipTracker) restart(now int64) {
	for slot, v := range h.current {
		h.end(slot, v, h.expiresAt)
		v.from = now
		h.current[slot] = v
	}
}

func (h *ownershipTracker) setSlots(x seamstandtarget.ExecutionRecord) {
	granted := map[uint32]uint64{}
	for _, s := range x.Held {
		granted[s.Slot] = s.Epoch
	}
	for slot, v := range h.current {
		if epoch, ok := granted[slot]; !ok || epoch != v.epoch {
			h.release(slot, x.At)
		}
	}
	for slot, epoch := range granted {
		if _, ok := h.current[slot]; !ok {
			h.current[slot] = ownership{server: h.server, epoch: epoch, from: x.At}
		}
	}
}

func (h *ownershipTracker) release(slot uint32, now int64) {
	if v, ok := h.current[slot]; ok {
		h.end(slot, v, min(now, h.expiresAt))
		delete(h.current, slot)
	}
}

func (h *ownershipTracker) finish() {
	for slot, v := range h.current {
		h.end(slot, v, h.expiresAt)
	}
}

func (h *ownershipTracker) end(slot uint32, v ownership, to int64) {
	v.to = min(to, h.exitTime)
	if v.to > v.from {
		name := slotKey{service: h.service, index: slot}
		h.all[name] = append(h.all[name], v)
	}
}

// CountOwnerships returns the number of periods during which a server owned a slot.
func CountOwnerships(observations Observations) int {
	n := 0
	for _, list := range ownerships(observations) {
		n += len(list)
	}
	return n
}
