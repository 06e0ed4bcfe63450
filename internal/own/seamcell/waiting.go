package seamcell

import (
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// wait is the wait of a slot for a silent member whose server alone has its state.
type wait struct {
	until   seamclock.Instant
	holders []holder
}

// holder is a run of a target that has the state of a slot.
type holder struct {
	// instance is the name of the target's node.
	instance string
	target   TargetState
}

// run reports whether the target is the same run as the holder's.
func (h holder) run(t TargetState) bool {
	return t.Service == h.target.Service && t.Name == h.target.Name && t.Address == h.target.Address
}

// holds reports whether the member's server can have a state of the service's slots that it could hand over.
func (c *Cell) holds(id uint32, service string) bool {
	e := c.coordination.table.roster[id]
	return e != nil && e.target.Standby && e.target.Service == service && e.target.Name != ""
}

// await makes a slot without an owner wait for one of the members, and reports whether it has to. It need
// not if a standby is up to date, or if no member can hold state.
func (c *Cell) await(id seamslot.ID, e *slotEntry, members ...uint32) bool {
	r := c.coordination
	if e.synced && r.infos[e.standby] != nil || c.cfg.ReturnTimeout <= 0 {
		return false
	}
	w := wait{until: c.now.Add(c.cfg.ReturnTimeout)}
	for _, m := range members {
		if c.holds(m, id.Service) {
			w.holders = append(w.holders, holder{instance: r.table.peer(m).Name, target: r.table.roster[m].target})
			e.next = m
		}
	}
	if len(w.holders) == 0 {
		return false
	}
	e.state, e.outside = stateWaiting, nil
	r.waits[id] = w
	if o := r.ranges.out; o != nil && o.Contains(id) {
		c.abortOutgoing()
	}
	return true
}

// endWaits makes slots free whose holder is back, has ended, or was waited for long enough.
func (c *Cell) endWaits() {
	r := c.coordination
	for _, id := range sortedSlots(r.waits) {
		e := r.table.slots[id]
		if e == nil || e.state != stateWaiting {
			delete(r.waits, id)
			continue
		}
		if !c.rested(id) {
			continue
		}
		w := r.waits[id]
		m := c.returned(w)
		switch {
		case m != nil:
			e.previous, e.next = m.id, m.id
		case seamclock.MinElapsed(c.now, w.until) >= 0 || c.allEnded(w):
			e.next = 0
		default:
			continue
		}
		e.state = stateOwned
		r.table.changeSlot(e)
		delete(r.waits, id)
	}
}

// returned returns a member with a target that has the state and can be granted the slot, or nil.
func (c *Cell) returned(w wait) *info {
	r := c.coordination
	for _, h := range w.holders {
		for _, id := range sortedKeys(r.infos) {
			if m := r.infos[id]; m.reported && h.run(r.table.roster[id].target) && c.ready(m, h.target.Service) != nil {
				return m
			}
		}
	}
	return nil
}

// allEnded reports whether other runs of targets stand in the places of all holders.
func (c *Cell) allEnded(w wait) bool {
	for _, h := range w.holders {
		if !c.ended(h) {
			return false
		}
	}
	return true
}

func (c *Cell) ended(h holder) bool {
	r := c.coordination
	for id, m := range r.infos {
		if t := r.table.roster[id].target; m.peer.Name == h.instance && t.Name != "" && !h.run(t) {
			return true
		}
	}
	return false
}

// waitsIn reports whether a slot of the range waits for its holder.
func (r *coordination) waitsIn(x seamslot.Range) bool {
	for id := range r.waits {
		if x.Contains(id) {
			return true
		}
	}
	return false
}

// awaitLost makes a slot wait that a lost member was to get because it has the state.
func (c *Cell) awaitLost(id seamslot.ID, e *slotEntry, lost uint32, synced bool) {
	r := c.coordination
	switch {
	case e.owner != 0 || e.state != stateOwned:
	case synced && r.infos[e.previous] == nil && r.infos[e.next] == nil:
		c.await(id, e, e.previous, lost)
	case synced && r.infos[e.next] == nil:
		c.await(id, e, lost)
	case e.next == lost && e.previous == lost:
		c.await(id, e, lost)
	}
}

// awaitGiven makes a slot that has entered the cell wait for the member to whose server it was handed over,
// if that is silent.
func (c *Cell) awaitGiven(id seamslot.ID) {
	r := c.coordination
	e := r.table.slots[id]
	if e == nil || e.owner != 0 || e.state != stateOwned || r.hints[id] == "" {
		return
	}
	for _, n := range sortedKeys(r.table.roster) {
		if r.table.peer(n).Name != r.hints[id] {
			continue
		}
		if m := r.infos[n]; m != nil && c.usable(m, id.Service) {
			return
		}
		if c.await(id, e, n) {
			r.table.changeSlot(e)
		}
	}
}

// reportWaits reports the slots that wait since a member was lost.
func (c *Cell) reportWaits(member uint32, before int) {
	r := c.coordination
	if n := len(r.waits) - before; n > 0 {
		c.emit(seamevent.SlotWaiting, seamevent.Fields{"cell": r.entry.Record.ID, "member": r.table.peer(member).Name, "slots": n})
	}
}
