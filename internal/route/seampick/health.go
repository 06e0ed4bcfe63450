package seampick

import "time"

const (
	// failuresToEject is the number of failures in a row that eject a node.
	failuresToEject = 5
	// ejectFirst and ejectLast bound the time of an ejection, which doubles.
	ejectFirst = time.Second
	ejectLast  = 30 * time.Second
	// ejectFloor is the largest share of the nodes of a choice that may be ejected.
	ejectFloor = 0.5
)

// health is the record of failures of one node.
type health struct {
	failures  int
	ejections int
	until     time.Time
}

// report takes the end of one request into account and reports whether the node is ejected now.
func (h *health) report(now time.Time, good bool) (ejected bool) {
	if good {
		h.failures = 0
		if now.After(h.until.Add(ejectLast)) {
			h.ejections = 0
		}
		return false
	}
	h.failures++
	if h.failures < failuresToEject || now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(ejectFirst<<min(h.ejections, 10), ejectLast))
	h.ejections++
	// One more failure after the ejection ejects the node again.
	h.failures = failuresToEject - 1
	return true
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.until)
}
