package seamsession

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	listener net.Listener
	// routes holds the session that takes new streams to an address.
	routes   map[string]*session
	failures map[string]failure
	// pending counts the connections that are being introduced.
	pending int
	// left says that the node leaves: there are no new sessions.
	left bool

	// welcoming counts the connections of peers that have no session yet.
	welcoming atomic.Int32
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
		listener: l,
		routes:   map[string]*session{},
		failures: map[string]failure{},
	}
	p.stats = newStats(set, self, func() float64 { return float64(p.Len()) })
	p.handlers[relay] = relayHandler{p}
	p.handlers[farewell] = farewellHandler{p}
	var wg sync.WaitGroup
	wg.Go(func() { p.listen(l) })
	wg.Go(func() { p.sweep(ctx) })
	if cfg.LazyProbes {
		wg.Go(func() { p.probe(ctx) })
	}
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
	var busy *PoolFullError
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

// add starts to serve a session, reachable under the address, and reports whether the node leaves, so
// that the peer has yet to be told.
func (p *Pool) add(s *session, address string) (left bool) {
	p.mu.Lock()
	left = p.left
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
	return left
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
		p.welcoming.Add(1)
		go func() {
			defer p.welcoming.Add(-1)
			p.welcome(c)
		}()
	}
}

// welcome introduces this node to a peer that dialed.
func (p *Pool) welcome(c net.Conn) {
	full := p.reserve()
	if full == nil {
		defer p.unreserve()
	}
	c.SetDeadline(time.Now().Add(p.cfg.DialTimeout))
	theirs, err := readHello(c)
	if err != nil || p.hasLeft() {
		c.Close()
		return
	}
	err = answerHello(c, &seamroutewire.Hello{Self: PeerToWire(p.self), Busy: full != nil})
	if err != nil || full != nil {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	peer := PeerFromWire(theirs.GetSelf())
	s, err := p.wrap(c, peer, false)
	if err != nil {
		return
	}
	if p.add(s, peer.Address) {
		s.sayFarewell(p.ctx)
	}
}

// serve reads the kind of a stream and hands it to its handler.
func (p *Pool) serve(ctx context.Context, s *session, c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(p.cfg.AckTimeout))
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

// Peers returns the peers to which sessions are open, in no order.
func (p *Pool) Peers() []seampeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := make([]seampeer.Peer, 0, len(p.routes))
	for _, s := range p.routes {
		if s.usable() {
			peers = append(peers, s.peer)
		}
	}
	return peers
}

// Len returns the number of sessions that take new streams.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taking()
}
