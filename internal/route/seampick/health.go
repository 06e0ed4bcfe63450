package seampick

import "time"

const (
	// failuresToEject is the number of failures in a row that eject a node.
	failuresToEject = 5
	// ejectFirst and ejectLast bound the time of an ejection, which doubles.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// ejectFloor is the largest share of the nodes of a choice that may be ejected.
	maxEjectedShare = 0.5
)

// health is the record of failures of one node.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// report takes the end of one request into account and reports whether the node is ejected now.
func (h *health) report(now time.Time, success bool) (ejected bool) {
	if success {
		h.failures = 0
		if now.After(h.ejectedUntil.Add(maxEjection)) {
			h.ejections = 0
		}
		return false
	}
	h.failures++
	if h.failures < failuresToEject || now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(min(initialEjection<<min(h.ejections, 10), maxEjection))
	h.ejections++
	// One more failure after the ejection ejects the node again.
	h.failures = failuresToEject - 1
	return true
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
