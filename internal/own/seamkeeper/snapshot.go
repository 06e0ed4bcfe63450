package seamkeeper

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
)

// snapshot is what the request path reads of the cell. It never changes.
type snapshot struct {
	view seamcell.View
	// changed is the time at which epoch, members or owners last differed from those before.
	changedAt time.Time
	slots   map[slotID]seamcell.SlotView
	// records are those of all cells and services, in order of their keys.
	records []seamcell.Entry
	// ranges are the ranges of all cells by service.
	ranges map[string][]cellRange
	// changes is the number of changes of records that records and ranges contain.
	recordsVersion uint64
}

// cellRange is a range of slots and the coordinator of the cell that owns it.
type cellRange struct {
	from, to            uint32
	coordinator, backup seampeer.Peer
}

// publish makes the present state of the cell readable without a lock. mu is
// held, or the keeper is not yet shared.
func (k *Keeper) publish(now seamclock.Instant) {
	view := k.cell.View(now)
	s := &snapshot{
		view:    view,
		slots:   make(map[slotID]seamcell.SlotView, len(view.Slots)),
		recordsVersion: k.cell.Stamp().Records,
	}
	for _, x := range view.Slots {
		s.slots[x.Slot] = x
	}
	before := k.snapshot.Load()
	if before != nil && before.recordsVersion == s.recordsVersion {
		s.records, s.ranges = before.records, before.ranges
	} else {
		s.setRecords(k.cell.Records())
	}
	s.changedAt = time.Unix(0, int64(now.Wall))
	if before != nil {
		if sameCell(before.view, view) {
			s.changedAt = before.changedAt
		}
		if before.view.Cell != "" && view.Cell == "" {
			k.cacheOwners(before.view)
		}
	}
	k.snapshot.Store(s)
	k.slotWaiters.wake()
}

// keepOwners remembers the owners in a cell that this node has left, so that its
// callers are served while the node stops.
func (k *Keeper) cacheOwners(left seamcell.View) {
	for _, x := range left.Slots {
		owner := x.Owner
		if !x.Next.Zero() {
			owner = x.Next
		}
		if !owner.Zero() && !owner.Same(k.self) {
			k.ownerCache.put(x.Slot, owner)
		}
	}
	k.wakeBootstrap()
}

// sameCell reports whether two views agree on epoch, members and owners.
func sameCell(a, b seamcell.View) bool {
	if a.Cell != b.Cell || a.Epoch != b.Epoch || len(a.Members) != len(b.Members) || len(a.Slots) != len(b.Slots) {
		return false
	}
	for i := range a.Slots {
		if a.Slots[i].Owner != b.Slots[i].Owner {
			return false
		}
	}
	return true
}

// setRecords takes the records and makes the index of their ranges.
func (s *snapshot) setRecords(records []seamcell.Entry) {
	s.records = records
	s.ranges = map[string][]cellRange{}
	for _, e := range records {
		s.addRanges(e)
	}
}

func (s *snapshot) addRanges(e seamcell.Entry) {
	if e.Deleted || e.Record.ID == "" {
		return
	}
	for _, r := range e.Record.Ranges {
		s.ranges[r.Service] = append(s.ranges[r.Service], cellRange{from: r.From, to: r.To, coordinator: e.Record.Coordinator, backup: e.Record.Backup})
	}
}

// keeperOf returns a node other than self that knows the owner of the slot: the
// coordinator of its cell, or the backup.
func (s *snapshot) coordinatorFor(id slotID, self seampeer.Peer) seampeer.Peer {
	for _, r := range s.ranges[id.Service] {
		if id.Index < r.from || id.Index >= r.to {
			continue
		}
		if r.coordinator.Same(self) {
			return r.backup
		}
		return r.coordinator
	}
	return seampeer.Peer{}
}
