package seamcheck

import (
	"math"
	"sort"

	"cardamomseam/internal/stand/seamstandtarget"
)

// slotName names a slot.
type slotName struct {
	service string
	index   uint32
}

// holding is a time for which a server held a slot, in nanoseconds since the Unix epoch.
type holding struct {
	server   string
	epoch    uint64
	from, to int64
}

// holdings works out from the ledgers who held each slot when.
func holdings(e Observations) map[slotName][]holding {
	servers := map[string][]seamstandtarget.ExecutionRecord{}
	for _, x := range e.ExecutionLog {
		if x.Kind == seamstandtarget.KindGrant || x.Kind == seamstandtarget.KindReleased {
			servers[x.Server] = append(servers[x.Server], x)
		}
	}
	all := map[slotName][]holding{}
	for name, lines := range servers {
		end := int64(math.MaxInt64)
		if t, ok := e.ExitTimes[name]; ok {
			end = t.UnixNano()
		}
		h := newHolder(name, end, all)
		sort.SliceStable(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
		for _, x := range lines {
			h.take(x)
		}
		h.finish()
	}
	return all
}

// holder follows the orders of one server.
type holder struct {
	server string
	// end is the time at which the server was killed.
	end   int64
	until int64
	held  map[uint32]holding
	// names is the service of the held slots.
	service string
	all     map[slotName][]holding
}

func newHolder(server string, end int64, all map[slotName][]holding) *holder {
	return &holder{server: server, end: end, held: map[uint32]holding{}, all: all}
}

func (h *holder) take(x seamstandtarget.ExecutionRecord) {
	h.service = x.Service
	if x.Kind == seamstandtarget.KindReleased {
		h.drop(x.Slot, x.At)
		return
	}
	if h.until < x.At {
		h.resume(x.At)
	}
	if x.HeldChanged {
		h.change(x)
	}
	h.until = x.ExpiresAt
}

// resume ends the holdings at the end of the orders and begins them anew at now.
func (h *holder) resume(now int64) {
	for slot, v := range h.held {
		h.close(slot, v, h.until)
		v.from = now
		h.held[slot] = v
	}
}

func (h *holder) change(x seamstandtarget.ExecutionRecord) {
	named := map[uint32]uint64{}
	for _, s := range x.Held {
		named[s.Slot] = s.Epoch
	}
	for slot, v := range h.held {
		if epoch, ok := named[slot]; !ok || epoch != v.epoch {
			h.drop(slot, x.At)
		}
	}
	for slot, epoch := range named {
		if _, ok := h.held[slot]; !ok {
			h.held[slot] = holding{server: h.server, epoch: epoch, from: x.At}
		}
	}
}

func (h *holder) drop(slot uint32, now int64) {
	if v, ok := h.held[slot]; ok {
		h.close(slot, v, min(now, h.until))
		delete(h.held, slot)
	}
}

func (h *holder) finish() {
	for slot, v := range h.held {
		h.close(slot, v, h.until)
	}
}

func (h *holder) close(slot uint32, v holding, to int64) {
	v.to = min(to, h.end)
	if v.to > v.from {
		name := slotName{service: h.service, index: slot}
		h.all[name] = append(h.all[name], v)
	}
}

// Grants returns the number of times that a server held a slot.
func CountOwnerships(e Observations) int {
	n := 0
	for _, list := range holdings(e) {
		n += len(list)
	}
	return n
}
