package seamassign_test

import (
	"time"

	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
)

// storeCopy is a copy of the store from which it may come back.
type storeCopy struct {
	stored   seamtable.Table
	revision int64
}

// copyInterval is the simulated time between two copies of the store.
const copyInterval = 500 * time.Millisecond

// copyStore copies the store when a copy is due.
func (m *model) copyStore() {
	if m.now%copyInterval == 0 {
		m.copies = append(m.copies, storeCopy{m.stored.Clone(), m.revision})
	}
}

// maxNoticeMillis is the time within which a node that reaches the store learns of a new era, in milliseconds.
const maxNoticeMillis = 1600

// restoreStore makes the store come back from one of the copies, in a new era. The assigners and the nodes learn of it one after
// another. One assigner may not reach the store, and goes on until its leadership ends.
func (m *model) restoreStore() {
	if len(m.copies) == 0 || m.now < m.storeDownUntil {
		return
	}
	c := m.copies[m.random.IntN(len(m.copies))]
	m.era++
	m.stored = c.stored.Clone()
	_, revision := seamstore.SplitEra(c.revision)
	m.revision = seamstore.JoinEra(m.era, revision)
	m.logf("store comes back in era %d with a table of era %d, epoch %d, fence %d", m.era, c.stored.Era, c.stored.Epoch, c.stored.Fence)
	m.resigned = seamtable.Assigner{}
	for i, a := range m.assigners {
		if i == len(m.assigners)-1 && !m.chance(4) {
			m.schedule(m.randomDelay(maxNoticeMillis/4), func() { m.removeAssigner(a) })
		}
	}
	for _, n := range m.nodes {
		era := m.era
		m.schedule(m.randomDelay(maxNoticeMillis), func() { n.era = max(n.era, era) })
	}
	m.schedule(m.randomDelay(maxNoticeMillis), m.elect)
}

// checkToken fails if a target takes a span with a fencing token that is not above all with which other targets took its keys.
func (m *model) checkToken(n *modelNode, o seamholder.Order) {
	if o.Kind != seamholder.Grant {
		return
	}
	for _, other := range m.nodes {
		for _, s := range other.target.taken {
			if other != n && s.Overlaps(o.Span) && s.fence >= o.Fence && !n.target.holdsUnder(m.now, o) {
				m.reportConflict(s, n, other)
			}
		}
	}
	n.target.recordTaken(o)
}

// recordTaken records that the target took the span of a grant.
func (m *modelTarget) recordTaken(o seamholder.Order) {
	for _, s := range m.taken {
		if s.Span == o.Span && s.fence == o.Fence {
			return
		}
	}
	m.taken = append(m.taken, heldSpan{Span: o.Span, fence: o.Fence})
}

// holdsUnder reports whether the target holds the whole span of a grant under its fencing token, so that it is renewed.
func (m *modelTarget) holdsUnder(now time.Duration, o seamholder.Order) bool {
	for _, h := range m.held {
		if h.fence == o.Fence && h.From <= o.From && h.To >= o.To && h.expiresAt > now {
			return true
		}
	}
	return false
}
