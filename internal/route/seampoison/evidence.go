package seampoison

import (
	"iter"
	"time"
)

// Crash is the end of an incarnation of a target while it was running requests.
type Crash struct {
	Service     string
	Incarnation Incarnation
	Requests    []Running
}

// Description tells operators which request a fingerprint stands for.
type Description struct {
	Path, Caller string
}

// Running is a request that a target was running.
type Running struct {
	Fingerprint
	Description
}

// facts are what this node has seen of one request.
type facts struct {
	Description
	// crashes are the times at which incarnations crashed while they ran the request, and cleared those at which such crashes
	// ceased to count.
	crashes, cleared map[Incarnation]time.Time
}

// latest returns the time of the latest fact.
func (f *facts) latest() time.Time {
	var latest time.Time
	for _, times := range []map[Incarnation]time.Time{f.crashes, f.cleared} {
		for _, at := range times {
			if at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

// evidence is what all nodes have seen of one request.
type evidence struct {
	crashes, cleared map[Incarnation]bool
}

func (e *evidence) add(crashes, cleared iter.Seq[Incarnation]) {
	for incarnation := range crashes {
		e.crashes[incarnation] = true
	}
	for incarnation := range cleared {
		e.cleared[incarnation] = true
	}
}

// counting returns the number of crashes that count.
func (e *evidence) counting() int {
	n := 0
	for incarnation := range e.crashes {
		if !e.cleared[incarnation] {
			n++
		}
	}
	return n
}
