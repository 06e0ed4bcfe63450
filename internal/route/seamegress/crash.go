package seamegress

import (
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamthrottle"
)

// runningCalls are the calls that were sent to the target and have not ended. It is safe for concurrent use.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]*gate
	// crashed is the latest incarnation of the target that is known to have crashed.
	crashed seamthrottle.Target
	// trial means that a quarantined request is running.
	trial bool
}

// beginTrial begins the run of a quarantined request, and reports false if another one is running: if the target crashed, both would
// be blamed.
func (r *runningCalls) beginTrial() (end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trial {
		return nil, false
	}
	r.trial = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.trial = false
	}, true
}

// add adds a call, which is sent once its gate is open, and returns a function that removes it.
func (r *runningCalls) add(c *call, g *gate) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[*call]*gate{}
	}
	r.calls[c] = g
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, c)
	}
}

// crash records that the incarnation of the target has crashed. It returns the calls that it was running, and false if the crash was
// recorded before.
func (r *runningCalls) crash(target seamthrottle.Target) (running []*call, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed == target {
		return nil, false
	}
	r.crashed = target
	for c, g := range r.calls {
		if throttleTarget(c.announced) == target && g.hasStarted() {
			running = append(running, c)
		}
	}
	return running, true
}

// hasCrashed reports whether the incarnation of the target is known to have crashed.
func (r *runningCalls) hasCrashed(target seamthrottle.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed == target
}

// confirmCrash reports whether the target of a call that got no complete response has crashed. A target that has crashed refuses
// connections; one that does not has lost the response. The target counts as cold meanwhile, since it may have started again.
// err is the error of the call, nil if that is not known.
func (c *call) confirmCrash(err error) bool {
	e := c.egress
	if e.isLeaving(c.announced) || !connectionEnded(err) {
		return false
	}
	e.doubtTarget(time.Now(), c.announced, false)
	if e.cfg.Poison == nil {
		return false
	}
	target := throttleTarget(c.announced)
	if e.running.hasCrashed(target) {
		return true
	}
	if !errors.Is(err, syscall.ECONNREFUSED) && !e.refusesConnections(c.announced) {
		return false
	}
	running, first := e.running.crash(target)
	if first {
		e.reportCrash(time.Now(), c.announced, running)
	}
	return true
}

// connectionEnded reports whether the error may come from the end of the connection to the target, which a crash causes.
func connectionEnded(err error) bool {
	for _, cause := range []error{nil, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// refusesConnections reports whether the target refuses a new connection. Calls that ask at the same time share one.
func (e *Egress) refusesConnections(a seamtarget.Announcement) bool {
	refused, _, _ := e.probes.Do(a.Address, func() (any, error) {
		conn, err := e.pools.forTarget(a).dialer.Dial("tcp", a.Address)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return refused.(bool)
}

// reportCrash records which requests the target was running when it crashed.
func (e *Egress) reportCrash(now time.Time, a seamtarget.Announcement, running []*call) {
	defer e.connectionRefused(a)
	crash := seampoison.Crash{Service: a.Service, Incarnation: seampoison.NewIncarnation(a.Name, a.Started)}
	for _, c := range running {
		f, known := c.fingerprint()
		fields := seamevent.Fields{
			"target": a.Name, "born": a.Started, "service": a.Service, "id": c.head.GetRequest(), "path": c.head.GetPath(),
			"caller": c.head.GetOrigin(), "ran": now.Sub(c.arrived).Milliseconds(),
		}
		if known {
			crash.Requests = append(crash.Requests, seampoison.Running{Fingerprint: f, Description: c.description()})
			fields["fingerprint"] = f.String()
		}
		e.events.Emit(now, seamevent.TargetCrashed, fields)
	}
	e.cfg.Poison.AddCrash(now, crash)
}
