package seamplace

import (
	"cmp"
	"slices"
)

// homeRegionShare is the share of a slot's requests from which on their region is the slot's home region.
const homeRegionShare = 0.6

// planAssignments assigns an owner to each slot that has none, in descending order of load. A live standby
// is preferred to any other member, because it has the state.
func (t *planState) planAssignments() {
	for _, s := range t.busiestFirst(func(s *slot) bool { return s.owner == nil }) {
		to := s.standby
		if to == nil {
			to = t.leastLoaded(s.eligible)
		}
		if to != nil {
			t.planMove(s, to, ReasonAssign, 0)
		}
	}
}

// planDrains moves slots from draining members, unless all members are draining.
func (t *planState) planDrains() {
	leaving := func(s *slot) bool { return s.owner != nil && s.owner.Draining && s.move == nil }
	for _, s := range t.busiestFirst(leaving) {
		to := s.standby
		if to == nil || to.Draining || to == s.owner {
			to = t.leastLoaded(s.eligible)
		}
		if to != nil {
			t.planMove(s, to, ReasonDrain, 0)
		}
	}
}

func (t *planState) busiestFirst(want func(*slot) bool) []*slot {
	var found []*slot
	for _, s := range t.slots {
		if want(s) {
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b *slot) int { return cmp.Compare(b.Rate, a.Rate) })
	return found
}

// eligibleMembers returns the members that may own slots with the home region: those in the region that are not
// draining, or all that are not draining if the region has none. It caches results in byHome.
func (t *planState) eligibleMembers(home string, byHome map[string][]*member) []*member {
	if found, ok := byHome[home]; ok {
		return found
	}
	var all, inRegion []*member
	for _, m := range t.members {
		if m.Draining {
			continue
		}
		all = append(all, m)
		if m.Region == home {
			inRegion = append(inRegion, m)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	byHome[home] = inRegion
	return inRegion
}

// homeRegion returns the region from which most of the slot's requests come. If there is no such region, it returns
// the region of the slot's owner.
func (s *slot) homeRegion() string {
	for region, share := range s.CallerShares {
		if share >= homeRegionShare {
			return region
		}
	}
	if s.owner != nil {
		return s.owner.Region
	}
	return ""
}

// leastLoaded returns the member with the lowest load relative to its capacity. If loads are equal, for example
// before the first request, the number of slots decides.
func (t *planState) leastLoaded(members []*member) *member {
	if len(members) == 0 {
		return nil
	}
	return slices.MinFunc(members, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(t.assignmentLoad(a), t.assignmentLoad(b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// baseSlotWeight is the share of the mean slot load that is added to the load of each slot when slots are assigned,
// so that idle slots are spread as well.
const baseSlotWeight = 0.1

func (t *planState) assignmentLoad(m *member) float64 {
	nominal := 1.0
	if t.mean > 0 {
		nominal = baseSlotWeight * t.total / float64(len(t.slots))
	}
	return (m.load + nominal*float64(m.ownedSlots)) / m.capacity
}
