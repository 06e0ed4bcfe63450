package seamthrottle

import (
	"sync"
	"time"
)

// Report is what one node tells another about what a target has stated.
type Report struct {
	Target Target
	// Limited reports whether Rate, in requests per second, limits the requests to the target.
	Limited bool
	Rate    float64
	// Age is the time since the target stated it.
	Age time.Duration
	// Leaving reports whether the target is about to stop, and LeavingAge since when.
	Leaving    bool
	LeavingAge time.Duration
	// WarmupLeft is the time for which WarmupRate, in requests per second, limits the requests because the target is or was
	// cold; 0 if it does not.
	WarmupLeft time.Duration
	WarmupRate float64
}

// Matters reports whether the report says more than that nothing is known.
func (r Report) Matters() bool { return r.LimitsRequests() || r.Leaving }

// LimitsRequests reports whether the target limits its requests, or its warm-up does.
func (r Report) LimitsRequests() bool { return r.Limited || r.WarmupLeft > 0 }

// Report returns the state as a report.
func (s State) Report(now time.Time) Report {
	r := Report{Target: s.Target, Limited: s.Limited, Rate: s.Rate}
	if !s.HeardAt.IsZero() {
		r.Age = max(now.Sub(s.HeardAt), 0)
	}
	if !s.LeavingSince.IsZero() {
		r.Leaving, r.LeavingAge = true, max(now.Sub(s.LeavingSince), 0)
	}
	return r
}

// maxReports is the number of nodes whose reports are kept.
const maxReports = 8192

// Reports holds what other nodes have reported about their targets: a node that passes on what a target has stated remembers it,
// also if the node beside the target forgets it in a restart. It is safe for concurrent use. The zero value is empty.
type Reports struct {
	mu sync.Mutex
	// byAddress holds the reports by the address of the node; its name is not always known.
	byAddress map[string]State
}

// Record records the report of the node with the address. The warm-up is left out: it ends by itself, and the announcement of the
// target decides it at the node beside it. What an older report says about the limit is ignored; a target that
// is leaving stays so.
func (r *Reports) Record(now time.Time, address string, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.byAddress[address]
	if s.Target != report.Target {
		s = State{Target: report.Target}
	}
	if heardAt := now.Add(-report.Age); !heardAt.Before(s.HeardAt) {
		s.Limited, s.Rate, s.HeardAt = report.Limited, report.Rate, heardAt
	}
	if report.Leaving && s.LeavingSince.IsZero() {
		s.LeavingSince = now.Add(-report.LeavingAge)
	}
	if !s.Limited && s.LeavingSince.IsZero() {
		delete(r.byAddress, address)
		return
	}
	if !known {
		r.makeRoom()
	}
	r.byAddress[address] = s
}

// makeRoom removes the oldest report if there are maxReports.
func (r *Reports) makeRoom() {
	if r.byAddress == nil {
		r.byAddress = map[string]State{}
	}
	if len(r.byAddress) < maxReports {
		return
	}
	oldest := ""
	for address, s := range r.byAddress {
		if oldest == "" || s.HeardAt.Before(r.byAddress[oldest].HeardAt) {
			oldest = address
		}
	}
	delete(r.byAddress, oldest)
}

// For returns the report about the target of the node with the address, and false if there is none.
func (r *Reports) For(now time.Time, address string) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byAddress[address]
	return s.Report(now), ok
}
