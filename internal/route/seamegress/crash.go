package seamegress

import (
	"bytes"
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamthrottle"
)

// runningCalls are the calls that were sent to the target and have not ended. It is safe for concurrent use.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]*gate
	// crashed is the latest incarnation of the target that is known to have crashed.
	crashed seamthrottle.Target
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
// connections; one that does not has lost the response. err is the error of the call, nil if that is not known.
func (c *call) confirmCrash(err error) bool {
	e := c.egress
	if e.cfg.Poison == nil || e.isLeaving(c.announced) || !connectionEnded(err) {
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
	if e.cfg.OnConnectionRefused != nil {
		defer e.cfg.OnConnectionRefused(a)
	}
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

// addAnswer records that the target has answered the request.
func (c *call) addAnswer(now time.Time) {
	if c.egress.cfg.Poison == nil {
		return
	}
	f, known := c.fingerprint()
	if known && c.egress.cfg.Poison.AddAnswer(now, seampoison.Key{Service: c.announced.Service, Fingerprint: f}) {
		c.egress.events.Emit(now, seamevent.PoisonCleared, seamevent.Fields{
			"fingerprint": f.String(), "service": c.announced.Service, "target": c.announced.Name, "id": c.head.GetRequest(), "path": c.head.GetPath(),
		})
	}
}

// mayBePoison reports whether something may be known about requests like this one.
func (c *call) mayBePoison() bool {
	guard := c.egress.cfg.Poison
	return guard != nil && !guard.Empty() && guard.MayConcern(seampoison.HeadDigest(c.head))
}

// fingerprint returns the fingerprint of the request, and false if too little of its body has arrived.
func (c *call) fingerprint() (seampoison.Fingerprint, bool) {
	prefix, known := c.bodyPrefix()
	return seampoison.NewFingerprint(seampoison.HeadDigest(c.head), prefix), known
}

func (c *call) description() seampoison.Description {
	return seampoison.Description{Path: c.head.GetPath(), Caller: c.head.GetOrigin()}
}

// bodyPrefix returns the start of the body by which requests are told apart, and false if it has not arrived yet.
func (c *call) bodyPrefix() ([]byte, bool) {
	switch body := c.body.(type) {
	case *bytes.Reader:
		prefix := make([]byte, min(body.Size(), seampoison.BodyPrefix))
		_, err := body.ReadAt(prefix, 0)
		return prefix, err == nil || len(prefix) == 0
	case *prefixReader:
		return body.prefix()
	}
	return nil, false
}

// recordPrefix makes the call keep the start of a body that is not in memory. If requests like this one may be poison, it reads that
// start before the request is sent.
func (c *call) recordPrefix() {
	if _, inMemory := c.body.(*bytes.Reader); inMemory || c.egress.cfg.Poison == nil {
		return
	}
	r := &prefixReader{source: c.body}
	c.body = r
	if c.mayBePoison() {
		r.fill()
	}
}

// quarantined returns the refusal of a request that is kept from the targets; nil if it may be sent.
func (c *call) quarantined(now time.Time) *seamoutcome.End {
	if c.trial || !c.mayBePoison() {
		return nil
	}
	f, known := c.fingerprint()
	if !known {
		return nil
	}
	verdict := c.egress.cfg.Poison.Check(now, seampoison.Key{Service: c.announced.Service, Fingerprint: f})
	if !verdict.Refused {
		return nil
	}
	end := verdict.Refusal(f)
	return &end
}

// beginTrial makes a quarantined request with a streamed body a trial, if one is due. The ingress, which begins those of other
// requests, has not seen the body.
func (c *call) beginTrial(ctx context.Context) {
	if _, streamed := c.body.(*prefixReader); !streamed || c.trial || !c.mayBePoison() {
		return
	}
	if f, known := c.fingerprint(); known {
		_, c.trial = c.egress.cfg.Poison.Admit(ctx, time.Now(), seampoison.Key{Service: c.announced.Service, Fingerprint: f}, c.description())
	}
}

// prefixReader keeps the first seampoison.BodyPrefix bytes that are read from a body.
type prefixReader struct {
	source io.Reader

	mu   sync.Mutex
	kept []byte
	// unread is the part of kept that Read has not returned yet.
	unread []byte
	ended  bool
	err    error
}

// Read returns the next bytes of the body.
func (r *prefixReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	if len(r.unread) > 0 {
		defer r.mu.Unlock()
		n := copy(p, r.unread)
		r.unread = r.unread[n:]
		return n, nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.keep(p[:n], err)
	return n, err
}

func (r *prefixReader) keep(p []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, p[:min(len(p), seampoison.BodyPrefix-len(r.kept))]...)
	r.ended = r.ended || errors.Is(err, io.EOF)
}

// fill reads the start of the body. Read returns it afterwards.
func (r *prefixReader) fill() {
	var kept []byte
	var err error
	for buffer := make([]byte, seampoison.BodyPrefix); err == nil && len(kept) < seampoison.BodyPrefix; {
		var n int
		n, err = r.source.Read(buffer[:seampoison.BodyPrefix-len(kept)])
		kept = append(kept, buffer[:n]...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept, r.unread, r.err = kept, kept, err
	r.ended = errors.Is(err, io.EOF)
}

// prefix returns the start of the body, and false if it has not been read yet.
func (r *prefixReader) prefix() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept, r.ended || len(r.kept) == seampoison.BodyPrefix
}
