package seamkeeper

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
)

// snapshot is the immutable view of the cell that the request path reads.
type snapshot struct {
	view seamcell.View
	// changedAt is the time of the last change of the epoch, the members or the owners.
	changedAt time.Time
	slots     map[slotID]seamcell.SlotView
	// records are those of all cells and services, sorted by key.
	records []seamcell.Entry
	// ranges holds the ranges of all cells by service.
	ranges map[string][]cellRange
	// recordsVersion is the version of records that records and ranges were built from.
	recordsVersion uint64
}

// cellRange is a range of slots and the coordinator of the cell that owns it.
type cellRange struct {
	from, to            uint32
	coordinator, backup seampeer.Peer
}

// publish stores a snapshot of the cell's current state, which is read without a lock. The caller holds mu, or the
// keeper is not shared yet.
func (k *Keeper) publish(now seamclock.Instant) {
	view := k.cell.View(now)
	s := &snapshot{
		view:           view,
		slots:          make(map[slotID]seamcell.SlotView, len(view.Slots)),
		recordsVersion: k.cell.ViewVersion().Records,
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

// cacheOwners caches the owners in a cell that this node has left, so that it still serves its callers
// while it stops.
func (k *Keeper) cacheOwners(former seamcell.View) {
	for _, x := range former.Slots {
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

// sameCell reports whether two views agree on the cell, its epoch, the owners and the number of members.
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

// setRecords sets the records and indexes their ranges.
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

// coordinatorFor returns the coordinator of the cell that owns the slot, or its backup if this node is the
// coordinator.
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
