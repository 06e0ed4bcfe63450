package seamsession

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamroutewire"
)

// Pool keeps the sessions of a node.
type Pool struct {
	cfg    Config
	self   seampeer.Peer
	events seamevent.Sink
	stats  *stats
	dials  singleflight.Group
	ctx    context.Context

	mu       sync.Mutex
	handlers map[Kind]Handler
	sessions map[*session]struct{}
	// routes holds the session that takes new streams to an address.
	routes   map[string]*session
	failures map[string]failure
	// pending counts the connections that are being introduced.
	pending int
}

// failure remembers failed dials to one address.
type failure struct {
	wait  time.Duration
	until time.Time
	cause error
}

// New listens for sessions of other nodes and returns the pool and a function
// that closes it with all its sessions.
func New(cfg Config, self seampeer.Peer, set *metrics.Set, sink seamevent.Sink) (*Pool, func(), error) {
	cfg = cfg.complete(self)
	l := cfg.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", cfg.Address); err != nil {
			return nil, nil, errors.Wrap(err, "listening for sessions")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		cfg:      cfg,
		self:     self,
		events:   sink,
		ctx:      ctx,
		handlers: map[Kind]Handler{},
		sessions: map[*session]struct{}{},
		routes:   map[string]*session{},
		failures: map[string]failure{},
	}
	p.stats = newStats(set, self, p.count)
	p.handlers[relay] = relayHandler{p}
	var wg sync.WaitGroup
	wg.Go(func() { p.listen(l) })
	wg.Go(func() { p.sweep(ctx) })
	return p, func() {
		cancel()
		l.Close()
		p.closeAll()
		wg.Wait()
	}, nil
}

// Register sets the handler of the streams of one kind.
func (p *Pool) Register(k Kind, h Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[k] = h
}

// Open opens a stream to a peer. Errors are *StalePeerError and *UnreachableError.
func (p *Pool) Open(ctx context.Context, to seampeer.Peer, k Kind) (net.Conn, error) {
	c, err := p.openDirect(ctx, to, k)
	var busy *BusyError
	if errors.As(err, &busy) && p.cfg.Relays != nil {
		return p.openRelayed(ctx, to, k, err)
	}
	return c, err
}

func (p *Pool) openDirect(ctx context.Context, to seampeer.Peer, k Kind) (net.Conn, error) {
	// A session may announce its end between the choice and the opening: try once more.
	var last error
	for range 2 {
		s, err := p.session(ctx, to)
		if err != nil {
			return nil, err
		}
		c, err := s.open(k, time.Now())
		if err == nil {
			p.stats.opened.Inc()
			return c, nil
		}
		last = err
		s.leaving.Store(true)
		p.dropRoute(s)
	}
	return nil, &UnreachableError{To: to, Cause: last}
}

// session returns a session to the peer, dialing if there is none.
func (p *Pool) session(ctx context.Context, to seampeer.Peer) (*session, error) {
	s, err := p.find(to, time.Now())
	if s != nil || err != nil {
		return s, err
	}
	result := p.dials.DoChan(to.Address, func() (any, error) {
		return p.dial(to)
	})
	select {
	case <-ctx.Done():
		return nil, &UnreachableError{To: to, Cause: ctx.Err()}
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		s := r.Val.(*session)
		if !fits(s.peer, to) {
			return nil, &StalePeerError{Want: to, Got: s.peer}
		}
		return s, nil
	}
}

// find returns the session to use, or the error of a dial that is not due again.
func (p *Pool) find(to seampeer.Peer, now time.Time) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.routes[to.Address]
	if s != nil && s.usable() {
		if fits(s.peer, to) {
			return s, nil
		}
		if to.Name != s.peer.Name || to.Incarnation < s.peer.Incarnation {
			return nil, &StalePeerError{Want: to, Got: s.peer}
		}
	}
	delete(p.routes, to.Address)
	if f, ok := p.failures[to.Address]; ok && now.Before(f.until) {
		return nil, &UnreachableError{To: to, Cause: f.cause, After: f.until.Sub(now)}
	}
	return nil, nil
}

func (p *Pool) dial(to seampeer.Peer) (*session, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	defer p.unreserve()
	s, err := p.connect(to)
	if err != nil {
		return nil, p.failed(to, err, time.Now())
	}
	p.add(s, to.Address)
	return s, nil
}

func (p *Pool) connect(to seampeer.Peer) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Dial)
	defer cancel()
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	h, err := introduce(c, &seamroutewire.Hello{Self: Wire(p.self)}, p.cfg.Dial)
	if err != nil {
		c.Close()
		return nil, err
	}
	peer := Peer(h.GetSelf())
	if h.GetBusy() {
		c.Close()
		return nil, &BusyError{At: peer}
	}
	return p.wrap(c, peer, true)
}

func (p *Pool) wrap(c net.Conn, peer seampeer.Peer, client bool) (*session, error) {
	boundSilence(c, p.cfg.Silence)
	in, out := p.stats.bytes(peer)
	s, err := newSession(&conn{Conn: c, in: in, out: out}, peer, client, p.cfg)
	if err != nil {
		c.Close()
	}
	return s, err
}

// failed remembers a failed dial and returns it as an error of Open.
func (p *Pool) failed(to seampeer.Peer, cause error, now time.Time) error {
	var busy *BusyError
	if errors.As(cause, &busy) {
		return busy
	}
	p.stats.failed.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) >= backoffLimit {
		clear(p.failures)
	}
	wait := min(max(2*p.failures[to.Address].wait, backoffFirst), backoffLast)
	f := failure{wait: wait, until: now.Add(jitter(wait)), cause: cause}
	p.failures[to.Address] = f
	return &UnreachableError{To: to, Cause: cause, After: f.until.Sub(now)}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// reserve makes room for one session, closing the one that was idle longest if need be.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sessions)+p.pending >= p.cfg.Max {
		s := p.longestIdle(time.Now())
		if s == nil {
			return &BusyError{At: p.self}
		}
		p.removeLocked(s)
		s.retire()
		time.AfterFunc(lingerTime, func() { s.mux.Close() })
	}
	p.pending++
	return nil
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

func (p *Pool) longestIdle(now time.Time) *session {
	var found *session
	var longest time.Duration
	for s := range p.sessions {
		if d := s.idle(now); d > longest {
			found, longest = s, d
		}
	}
	return found
}

// add starts to serve a session, reachable under the address.
func (p *Pool) add(s *session, address string) {
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	delete(p.failures, address)
	if old := p.routes[address]; old == nil || !old.usable() || old.peer.Incarnation <= s.peer.Incarnation {
		p.routes[address] = s
	}
	p.mu.Unlock()
	go func() {
		s.accept(p.ctx, p.serve)
		p.remove(s)
	}()
}

func (p *Pool) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(s)
}

func (p *Pool) removeLocked(s *session) {
	delete(p.sessions, s)
	p.dropRouteLocked(s)
}

func (p *Pool) dropRoute(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropRouteLocked(s)
}

func (p *Pool) dropRouteLocked(s *session) {
	for address, r := range p.routes {
		if r == s {
			delete(p.routes, address)
		}
	}
}

func (p *Pool) listen(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.welcome(c)
	}
}

// welcome introduces this node to a peer that dialed.
func (p *Pool) welcome(c net.Conn) {
	full := p.reserve()
	if full == nil {
		defer p.unreserve()
	}
	c.SetDeadline(time.Now().Add(p.cfg.Dial))
	theirs, err := readHello(c)
	if err != nil {
		c.Close()
		return
	}
	err = answerHello(c, &seamroutewire.Hello{Self: Wire(p.self), Busy: full != nil})
	if err != nil || full != nil {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	peer := Peer(theirs.GetSelf())
	s, err := p.wrap(c, peer, false)
	if err != nil {
		return
	}
	p.add(s, peer.Address)
}

// serve reads the kind of a stream and hands it to its handler.
func (p *Pool) serve(ctx context.Context, s *session, c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(p.cfg.Silence))
	var kind [1]byte
	if _, err := io.ReadFull(c, kind[:]); err != nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	p.mu.Lock()
	h := p.handlers[Kind(kind[0])]
	p.mu.Unlock()
	if h == nil {
		p.stats.strange.Inc()
		return
	}
	h.ServeStream(ctx, s.peer, &accepted{Conn: c, session: s})
}

// sweep closes sessions that are idle, and those that are too old once their streams ended.
func (p *Pool) sweep(ctx context.Context) {
	tick := time.NewTicker(max(min(p.cfg.Idle/4, time.Second), time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.sweepOnce(now)
		}
	}
}

func (p *Pool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		idle := s.idle(now)
		switch {
		case s.leaving.Load() && idle > lingerTime:
			p.removeLocked(s)
			go s.mux.Close()
		case idle > p.cfg.Idle || now.Sub(s.start) > p.cfg.Age || s.skewed(now):
			p.dropRouteLocked(s)
			s.touch(now)
			go s.retire()
		}
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	all := make([]*session, 0, len(p.sessions))
	for s := range p.sessions {
		all = append(all, s)
	}
	p.mu.Unlock()
	for _, s := range all {
		s.mux.Close()
	}
}

func (p *Pool) count() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(len(p.sessions))
}
