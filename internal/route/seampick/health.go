package seampick

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a node.
	failuresToEject = 5
	// initialEjection and maxEjection bound the duration of an ejection, which doubles each time.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// maxEjectedShare is the largest share of the candidates that may be ejected.
	maxEjectedShare = 0.5
)

// health tracks the failures and ejections of one node.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// report records the result of one request. It reports whether the node is ejected because of it.
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
	// A single failure after the ejection ejects the node again.
	h.failures = failuresToEject - 1
	return true
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
