package seamplace

import (
	"cmp"
	"slices"
)

// homeShare is the part of a slot's requests that makes their region its home.
const homeShare = 0.6

// assign gives an owner to each slot without one, the busiest slots first. A live
// standby comes before any other member, since it has the state.
func (t *table) assign() {
	for _, s := range t.busiestFirst(func(s *slot) bool { return s.owner == nil }) {
		to := s.standby
		if to == nil {
			to = t.lightest(s.near)
		}
		if to != nil {
			t.put(s, to, ReasonAssign, 0)
		}
	}
}

// drain takes the slots from draining members while another member stays.
func (t *table) drain() {
	leaving := func(s *slot) bool { return s.owner != nil && s.owner.Draining && s.move == nil }
	for _, s := range t.busiestFirst(leaving) {
		to := s.standby
		if to == nil || to.Draining || to == s.owner {
			to = t.lightest(s.near)
		}
		if to != nil {
			t.put(s, to, ReasonDrain, 0)
		}
	}
}

func (t *table) busiestFirst(want func(*slot) bool) []*slot {
	var found []*slot
	for _, s := range t.slots {
		if want(s) {
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b *slot) int { return cmp.Compare(b.Rate, a.Rate) })
	return found
}

// candidates returns the members that may own slots at home in a region: those in it, or
// all that stay if none is there. The results are kept in byHome.
func (t *table) candidates(home string, byHome map[string][]*member) []*member {
	if found, ok := byHome[home]; ok {
		return found
	}
	var all, near []*member
	for _, m := range t.members {
		if m.Draining {
			continue
		}
		all = append(all, m)
		if m.Region == home {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	byHome[home] = near
	return near
}

// home returns the region from which most of the slot's requests come, or else the
// region of its owner.
func (s *slot) home() string {
	for region, share := range s.CallerShares {
		if share >= homeShare {
			return region
		}
	}
	if s.owner != nil {
		return s.owner.Region
	}
	return ""
}

// lightest returns the member with the least load for its capacity. While loads are
// equal, as they are before any request came, the number of slots decides.
func (t *table) lightest(members []*member) *member {
	if len(members) == 0 {
		return nil
	}
	return slices.MinFunc(members, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(t.weight(a), t.weight(b)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// slotWeight is the part of the mean load of a slot that each slot counts for besides its
// own load when slots are assigned, so that unused slots are spread as well.
const slotWeight = 0.1

func (t *table) weight(m *member) float64 {
	nominal := 1.0
	if t.mean > 0 {
		nominal = slotWeight * t.total / float64(len(t.slots))
	}
	return (m.load + nominal*float64(m.owned)) / m.capacity
}
