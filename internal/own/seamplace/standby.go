package seamplace

import "cmp"

// Ranks of standbys, in order of preference.
const (
	// otherDomain is a standby in another failure domain of the owner's region. It survives the loss of the owner's
	// failure domain.
	otherDomain = iota
	// otherRegion is a standby in another region. It also survives that loss, but replication crosses regions.
	otherRegion
	// sameDomain is a standby in the owner's failure domain. It survives only the loss of the owner itself.
	sameDomain
)

// planStandbys chooses the standby of each slot that moves, and replaces standbys that are lost or that have a worse
// rank than another member.
func (t *planState) planStandbys() {
	for _, s := range t.slots {
		if s.owner == nil {
			continue
		}
		t.setStandby(s)
	}
}

func (t *planState) setStandby(s *slot) {
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

// chooseStandby returns the current standby if it is suitable, and best otherwise. Replacing a standby merely because of
// its rank counts against Config.MaxMoves.
func (t *planState) chooseStandby(s *slot, best *member) *member {
	current := s.standby
	if best == nil {
		return nil
	}
	if current == s.owner && s.previousOwner != nil && s.previousOwner.canBeStandby() {
		current = s.previousOwner // already has the state
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

// replaceStandby sets the standby of s and transfers the replication load to it.
func (*planState) replaceStandby(s *slot, next *member) *member {
	if s.standby != nil {
		s.standby.standbyLoad -= s.Rate
	}
	if next != nil {
		next.standbyLoad += s.Rate
	}
	s.standby = next
	return next
}

// bestStandby returns the least loaded member of the best rank, or nil if no member can be the standby.
func (t *planState) bestStandby(s *slot) *member {
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

// canBeStandby reports whether m supports standbys and is not draining.
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
