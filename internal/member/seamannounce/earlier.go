package seamannounce

import (
	"time"

	"cardamomseam/internal/member/seamtarget"
)

const (
	// replaceAfter is how long an earlier incarnation announces itself, while the current one is silent, before it counts as the
	// target.
	replaceAfter = 2 * time.Second
	// replaceCount is the number of announcements within that time.
	replaceCount = 3
)

// earlierTarget is an incarnation that started before the current one and announces itself again and again, while the current one
// does not: the announcement of the current one was not of the node's target. Announcements that were delayed on their way
// arrive at once, or beside those of the incarnation that followed.
type earlierTarget struct {
	name     string
	started  int64
	sequence uint64
	// since is the time of the first of count announcements.
	since time.Time
	count int
}

// replaces records an outdated announcement and reports whether its target replaces the current one.
func (e *earlierTarget) replaces(now time.Time, current, a seamtarget.Announcement) bool {
	if a.Started >= current.Started {
		return false
	}
	if e.name != a.Name || e.started != a.Started {
		*e = earlierTarget{name: a.Name, started: a.Started, sequence: a.Sequence, since: now, count: 1}
		return false
	}
	if a.Sequence <= e.sequence {
		return false
	}
	e.sequence = a.Sequence
	e.count++
	return e.count >= replaceCount && now.Sub(e.since) >= replaceAfter
}
