package seamcell

import (
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// stateWait is the wait of a slot for an unresponsive member whose server has the only copy of its
// state.
type stateWait struct {
	expiresAt seamclock.Instant
	holders   []holder
}

// holder is an incarnation of a target that has the state of a slot.
type holder struct {
	// instance is the name of the target's node.
	instance string
	target   TargetState
}

// matches reports whether the target is the same incarnation as the holder's target.
func (h holder) matches(t TargetState) bool {
	return t.Service == h.target.Service && t.Name == h.target.Name && t.Address == h.target.Address
}

// mayHoldState reports whether the member's server may have state of the service's slots that it
// could hand over.
func (c *Cell) mayHoldState(id uint32, service string) bool {
	e := c.coordination.table.roster[id]
	return e != nil && e.target.Standby && e.target.Service == service && e.target.Name != ""
}

// waitForState makes a slot without an owner wait for one of the members, and reports whether it
// does. A slot does not wait if its standby is up to date or no member can hold its state.
func (c *Cell) waitForState(id seamslot.ID, e *slotEntry, members ...uint32) bool {
	r := c.coordination
	if e.synced && r.members[e.standby] != nil || c.cfg.ReturnTimeout <= 0 {
		return false
	}
	w := stateWait{expiresAt: c.now.Add(c.cfg.ReturnTimeout)}
	for _, m := range members {
		if c.mayHoldState(m, id.Service) {
			w.holders = append(w.holders, holder{instance: r.table.peer(m).Name, target: r.table.roster[m].target})
			e.next = m
		}
	}
	if len(w.holders) == 0 {
		return false
	}
	e.state, e.externalSuccessor = stateWaiting, nil
	r.stateWaits[id] = w
	if o := r.ranges.outgoing; o != nil && o.Contains(id) {
		c.abortOutgoing()
	}
	return true
}

// endWaits ends the wait of slots for which a holder has returned, whose holders have all been
// replaced, or whose wait has timed out.
func (c *Cell) endWaits() {
	r := c.coordination
	for _, id := range sortedSlots(r.stateWaits) {
		e := r.table.slots[id]
		if e == nil || e.state != stateWaiting {
			delete(r.stateWaits, id)
			continue
		}
		if !c.earlierLeasesOver(id) {
			continue
		}
		w := r.stateWaits[id]
		m := c.returnedHolder(w)
		switch {
		case m != nil:
			e.previous, e.next = m.id, m.id
		case seamclock.MinElapsed(c.now, w.expiresAt) >= 0 || c.allHoldersReplaced(w):
			e.next = 0
		default:
			continue
		}
		e.state = stateOwned
		r.table.changeSlot(e)
		delete(r.stateWaits, id)
	}
}

// returnedHolder returns a member whose target has the state and that can be granted the slot, or
// nil.
func (c *Cell) returnedHolder(w stateWait) *memberInfo {
	r := c.coordination
	for _, h := range w.holders {
		for _, id := range sortedKeys(r.members) {
			if m := r.members[id]; m.reported && h.matches(r.table.roster[id].target) && c.ready(m, h.target.Service) != nil {
				return m
			}
		}
	}
	return nil
}

// allHoldersReplaced reports whether all holders have been replaced by other incarnations of
// targets.
func (c *Cell) allHoldersReplaced(w stateWait) bool {
	for _, h := range w.holders {
		if !c.holderReplaced(h) {
			return false
		}
	}
	return true
}

func (c *Cell) holderReplaced(h holder) bool {
	r := c.coordination
	for id, m := range r.members {
		if t := r.table.roster[id].target; m.peer.Name == h.instance && t.Name != "" && !h.matches(t) {
			return true
		}
	}
	return false
}

// waitsInRange reports whether a slot of the range waits for its holder.
func (r *coordination) waitsInRange(x seamslot.Range) bool {
	for id := range r.stateWaits {
		if x.Contains(id) {
			return true
		}
	}
	return false
}

// waitAfterLoss makes an unowned slot wait for a lost member that was to receive it, if that member
// may have the only copy of the slot's state. synced says that the member was the slot's synced standby.
func (c *Cell) waitAfterLoss(id seamslot.ID, e *slotEntry, lost uint32, synced bool) {
	r := c.coordination
	switch {
	case e.owner != 0 || e.state != stateOwned:
	case synced && r.members[e.previous] == nil && r.members[e.next] == nil:
		c.waitForState(id, e, e.previous, lost)
	case synced && r.members[e.next] == nil:
		c.waitForState(id, e, lost)
	case e.next == lost && e.previous == lost:
		c.waitForState(id, e, lost)
	}
}

// waitAfterTransfer makes a slot that the cell has received from another cell wait for the member to
// whose server it was handed over, if that member is unresponsive.
func (c *Cell) waitAfterTransfer(id seamslot.ID) {
	r := c.coordination
	e := r.table.slots[id]
	if e == nil || e.owner != 0 || e.state != stateOwned || r.preferredOwners[id] == "" {
		return
	}
	for _, n := range sortedKeys(r.table.roster) {
		if r.table.peer(n).Name != r.preferredOwners[id] {
			continue
		}
		if m := r.members[n]; m != nil && c.usable(m, id.Service) {
			return
		}
		if c.waitForState(id, e, n) {
			r.table.changeSlot(e)
		}
	}
}

// reportWaits emits an event with the number of slots that started to wait because a member was lost.
// before is the number of waiting slots before the loss.
func (c *Cell) reportWaits(member uint32, before int) {
	r := c.coordination
	if n := len(r.stateWaits) - before; n > 0 {
		c.emit(seamevent.SlotWaiting, seamevent.Fields{"cell": r.entry.Record.ID, "member": r.table.peer(member).Name, "slots": n})
	}
}
