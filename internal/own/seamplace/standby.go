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
func (t *table) planStandbys() {
	for _, s := range t.slots {
		if s.owner == nil {
			continue
		}
		t.setStandby(s)
	}
}

func (t *table) setStandby(s *slot) {
	best := t.bestStandby(s)
	chosen := t.chooseStandby(s, best)
	if s.move != nil {
		s.move.Standby = memberName(t.replaceStandby(s, chosen))
		return
	}
	if memberName(chosen) == s.Standby {
		return
	}
	s.move = &Move{Slot: s.ID, From: s.owner.Name, To: s.owner.Name, Reason: ReasonStandby}
	s.move.Standby = memberName(t.replaceStandby(s, chosen))
}

// kept returns the present standby if it will do, or else best. A standby that only
// stands in a worse place is replaced within the limit on moves.
func (t *table) chooseStandby(s *slot, best *member) *member {
	current := s.standby
	if best == nil {
		return nil
	}
	if current == s.owner && s.previousOwner != nil && s.previousOwner.canBeStandby() {
		current = s.previousOwner // it has the state
	}
	if current == nil || current == s.owner || !current.canBeStandby() {
		return best
	}
	if standbyRank(s.owner, current) <= standbyRank(s.owner, best) {
		return current
	}
	if s.move == nil && t.improvements >= t.config.MaxMoves {
		return current
	}
	t.improvements++
	return best
}

// exchange moves the load of the copy from the present standby to the next.
func (*table) replaceStandby(s *slot, next *member) *member {
	if s.standby != nil {
		s.standby.standbyLoad -= s.Rate
	}
	if next != nil {
		next.standbyLoad += s.Rate
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
		if m == s.owner || !m.canBeStandby() {
			continue
		}
		if best == nil || compareStandby(s.owner, m, best) < 0 {
			best = m
		}
	}
	return best
}

// usable reports whether m may be a standby.
func (m *member) canBeStandby() bool {
	return m.SupportsStandby && !m.Draining
}

func compareStandby(owner, a, b *member) int {
	return cmp.Or(
		cmp.Compare(standbyRank(owner, a), standbyRank(owner, b)),
		cmp.Compare((a.load+a.standbyLoad)/a.capacity, (b.load+b.standbyLoad)/b.capacity),
		cmp.Compare(a.Name, b.Name),
	)
}

func standbyRank(owner, standby *member) int {
	switch {
	case owner.Domain == standby.Domain:
		return sameDomain
	case owner.Region != standby.Region:
		return otherRegion
	}
	return otherDomain
}

func memberName(m *member) string {
	if m == nil {
		return ""
	}
	return m.Name
}
