package seamrouter_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamingress"
)

const (
	// rollingCut is the time after which a stopping node cuts the requests of its own callers.
	rollingCut = rollingLimit - seamingress.FinalResponseMargin
	// sessionLeaveTime is the time after its limit in which a node's peers leave its sessions.
	sessionLeaveTime = 300 * time.Millisecond
	// stopTolerance is how much later than the node the test may observe the end of a notice, a cut or the end of a drain.
	stopTolerance = 100 * time.Millisecond
)

// rollingRequest is what a caller observed of its request.
type rollingRequest struct {
	id, entry  string
	keyed      bool
	work       time.Duration
	sent, done time.Time
	response   response
	err        error
}

// rollingRun is what a target observed of a request.
type rollingRun struct {
	target     string
	start, end time.Time
	// cut is set if the connection was closed before the end of the run.
	cut bool
}

// rollingStop is one planned stop of a node.
type rollingStop struct {
	start, drained time.Time
}

// recordRun records the start of a run. The returned function records its end.
func (p *rollingPlay) recordRun(target string, r *http.Request) (ended func()) {
	id := r.Header.Get(seamheader.Request)
	u := &rollingRun{target: strings.TrimPrefix(target, "t-"), start: time.Now()}
	end := func(cut bool) {
		p.observed.Lock()
		defer p.observed.Unlock()
		if u.end.IsZero() {
			u.end, u.cut = time.Now(), cut
		}
	}
	p.observed.Lock()
	defer p.observed.Unlock()
	p.runs[id] = append(p.runs[id], u)
	stop := context.AfterFunc(r.Context(), func() { end(true) })
	return func() {
		stop()
		end(false)
	}
}

// check reports what must not happen to a request, and drains that end too late. It logs the other requests without a
// response, which a stop may explain or which have not run.
func (p *rollingPlay) check() {
	p.observed.Lock()
	defer p.observed.Unlock()
	counts := map[string]int{}
	for _, q := range p.requests {
		counts[q.outcome()]++
		if violation := p.violation(q); violation != "" {
			p.t.Errorf("seed %d: %s: %s", p.seed, violation, p.describe(q))
		} else if o := q.outcome(); o != seamheader.Done && o != seamheader.Refused {
			p.t.Logf("seed %d: without a response: %s", p.seed, p.describe(q))
		}
	}
	p.t.Logf("seed %d: requests by outcome %v, longest drain %v", p.seed, counts, p.checkDrains())
}

// violation returns what must not happen to a request and has happened to this one; "" if nothing has.
func (p *rollingPlay) violation(q rollingRequest) string {
	runs := p.runs[q.id]
	switch {
	case !q.keyed && len(runs) > 1:
		return "an unsafe request ran twice"
	case q.outcome() == seamheader.Done && !p.isWhole(q):
		return "a response that is not that of a completed run"
	case q.outcome() == seamheader.Done || len(runs) == 0:
		return ""
	case q.outcome() == seamheader.Refused:
		return "a refused request ran"
	case p.isLost(q, runs[len(runs)-1]):
		return "a request was given up although its target was at work"
	}
	return ""
}

// checkDrains reports drains that ended too late and returns the longest one.
func (p *rollingPlay) checkDrains() (longest time.Duration) {
	for name, stops := range p.stops {
		for _, s := range stops {
			took := s.drained.Sub(s.start)
			longest = max(longest, took)
			if took > rollingLimit+sessionLeaveTime+stopTolerance {
				p.t.Errorf("seed %d: %s drained for %v, want at most %v", p.seed, name, took, rollingLimit+sessionLeaveTime)
			}
		}
	}
	return longest
}

// outcome returns the outcome header of the response, or "broken" if there was no whole response.
func (q rollingRequest) outcome() string {
	if q.err != nil {
		return "broken"
	}
	return q.response.header.Get(seamheader.Outcome)
}

func (p *rollingPlay) isWhole(q rollingRequest) bool {
	for _, u := range p.runs[q.id] {
		if !u.cut && !u.end.IsZero() && q.response.status == http.StatusOK && q.response.body == "t-"+u.target {
			return true
		}
	}
	return false
}

// isLost reports whether a request that has run got no response, and neither its timeout nor a stop explains it: that of the
// node beside the target, if the run began before the end of the notice, or that of the caller's node, if the request was
// sent before.
func (p *rollingPlay) isLost(q rollingRequest, u *rollingRun) bool {
	end := q.done
	if !u.end.IsZero() && u.end.Before(end) {
		end = u.end
	}
	if end.Sub(q.sent) >= routeTimeout {
		return false
	}
	if q.entry == u.target {
		return !p.endedByStop(u.target, u.start, end, rollingCut)
	}
	return !p.endedByStop(u.target, u.start, end, rollingLimit) && !p.endedByStop(q.entry, q.sent, end, rollingCut)
}

// endedByStop reports whether a stop of the node, whose notice ended after the start, was as old as the limit at the end.
func (p *rollingPlay) endedByStop(node string, start, end time.Time, limit time.Duration) bool {
	for _, s := range p.stops[node] {
		took := end.Sub(s.start)
		if start.Sub(s.start) <= rollingNotice+stopTolerance && took >= limit && took <= rollingLimit+stopTolerance {
			return true
		}
	}
	return false
}

// describe returns what was observed of a request, with times relative to the latest stops of the nodes involved.
func (p *rollingPlay) describe(q rollingRequest) string {
	text := fmt.Sprintf("request %s (work %v) to %s: sent at %s, done at %s: status %d %s, %v", q.id, q.work, q.entry,
		p.since(q.entry, q.sent, q.done), p.since(q.entry, q.done, q.done), q.response.status, strings.TrimSpace(q.response.body), q.err)
	for _, u := range p.runs[q.id] {
		text += fmt.Sprintf("; run by the target of %s: started at %s, ended at %s, cut: %t, response at %s", u.target,
			p.since(u.target, u.start, q.done), p.since(u.target, u.end, q.done), u.cut, p.since(u.target, q.done, q.done))
	}
	return text
}

// since returns the time since the latest stop of the node that began before the given time.
func (p *rollingPlay) since(node string, at, before time.Time) string {
	for i := len(p.stops[node]) - 1; i >= 0; i-- {
		if s := p.stops[node][i]; s.start.Before(before) {
			return fmt.Sprintf("stop%+d ms", at.Sub(s.start).Milliseconds())
		}
	}
	return "no stop"
}
