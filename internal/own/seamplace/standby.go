package seamplace

import "cmp"

// Ranks of standbys, best first.
const (
	// otherDomain survives the loss of the owner's failure domain.
	otherDomain = iota
	// otherRegion does too, but each copy crosses regions.
	otherRegion
	// sameDomain survives the loss of the owner only.
	sameDomain
)

// standbys names the standby of each slot that moves, and changes those that are lost or
// in a worse place than they could be.
func (t *table) standbys() {
	for _, s := range t.slots {
		if s.owner == nil {
			continue
		}
		t.setStandby(s)
	}
}

func (t *table) setStandby(s *slot) {
	best := t.bestStandby(s)
	kept := t.kept(s, best)
	if s.move != nil {
		s.move.Standby = name(t.exchange(s, kept))
		return
	}
	if name(kept) == s.Standby {
		return
	}
	s.move = &Move{Slot: s.ID, From: s.owner.Name, To: s.owner.Name, Reason: ReasonStandby}
	s.move.Standby = name(t.exchange(s, kept))
}

// kept returns the present standby if it will do, or else best. A standby that only
// stands in a worse place is replaced within the limit on moves.
func (t *table) kept(s *slot, best *member) *member {
	now := s.standby
	if best == nil {
		return nil
	}
	if now == s.owner && s.former != nil && s.former.usable() {
		now = s.former // it has the state
	}
	if now == nil || now == s.owner || !now.usable() {
		return best
	}
	if rank(s.owner, now) <= rank(s.owner, best) {
		return now
	}
	if s.move == nil && t.improved >= t.config.MaxMoves {
		return now
	}
	t.improved++
	return best
}

// exchange moves the load of the copy from the present standby to the next.
func (*table) exchange(s *slot, next *member) *member {
	if s.standby != nil {
		s.standby.copied -= s.Rate
	}
	if next != nil {
		next.copied += s.Rate
	}
	s.standby = next
	return next
}

// bestStandby returns the member of the best rank with the least load, or nil.
func (t *table) bestStandby(s *slot) *member {
	if !s.owner.SupportsStandby {
		return nil
	}
	var best *member
	for _, m := range t.members {
		if m == s.owner || !m.usable() {
			continue
		}
		if best == nil || compareStandby(s.owner, m, best) < 0 {
			best = m
		}
	}
	return best
}

// usable reports whether m may be a standby.
func (m *member) usable() bool {
	return m.SupportsStandby && !m.Draining
}

func compareStandby(owner, a, b *member) int {
	return cmp.Or(
		cmp.Compare(rank(owner, a), rank(owner, b)),
		cmp.Compare((a.load+a.copied)/a.capacity, (b.load+b.copied)/b.capacity),
		cmp.Compare(a.Name, b.Name),
	)
}

func rank(owner, standby *member) int {
	switch {
	case owner.Domain == standby.Domain:
		return sameDomain
	case owner.Region != standby.Region:
		return otherRegion
	}
	return otherDomain
}

func name(m *member) string {
	if m == nil {
		return ""
	}
	return m.Name
}
