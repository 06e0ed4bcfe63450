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

// Pool manages the sessions of a node to its peers.
type Pool struct {
	cfg    Config
	self   seampeer.Peer
	events seamevent.Sink
	stats  *stats
	// compressor decides which sessions are compressed.
	compressor compressor
	dials      singleflight.Group
	ctx        context.Context

	mu       sync.Mutex
	handlers map[Kind]Handler
	sessions map[*session]struct{}
	listener net.Listener
	// routes maps an address to the session used for new streams to it.
	routes   map[string]*session
	failures map[string]failure
	// reserved counts the places reserved for connections whose handshake is in progress.
	reserved int
	// shuttingDown means that the node accepts and opens no new sessions.
	shuttingDown bool

	// handshakes counts the accepted connections whose handshake is in progress.
	handshakes atomic.Int32
}

// New listens for sessions of other nodes and returns the pool and a function
// that closes it with all its sessions.
func New(cfg Config, self seampeer.Peer, set *metrics.Set, sink seamevent.Sink) (*Pool, func(), error) {
	cfg = cfg.withDefaults(self)
	l := cfg.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", cfg.Address); err != nil {
			return nil, nil, errors.Wrap(err, "listening for sessions")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		cfg:        cfg,
		compressor: compressor{cfg: cfg.Compression},
		self:       self,
		events:     sink,
		ctx:        ctx,
		handlers:   map[Kind]Handler{},
		sessions:   map[*session]struct{}{},
		listener:   l,
		routes:     map[string]*session{},
		failures:   map[string]failure{},
	}
	p.stats = newStats(set, self, func() float64 { return float64(p.Len()) })
	set.NewGauge("cardamomseam_sessions_compressed", func() float64 { return float64(p.compressor.sessions.Load()) })
	p.handlers[relayKind] = relayHandler{p}
	p.handlers[goAwayKind] = goAwayHandler{p}
	var wg sync.WaitGroup
	wg.Go(func() { p.listen(l) })
	wg.Go(func() { p.sweep(ctx) })
	if cfg.LazyProbes {
		wg.Go(func() { p.probeSessions(ctx) })
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

// Open opens a stream to a peer. Its errors include *StalePeerError and *UnreachableError.
func (p *Pool) Open(ctx context.Context, to seampeer.Peer, k Kind) (net.Conn, error) {
	return p.open(ctx, to, k, nil)
}

// OpenWithin opens a stream as Open does. It succeeds only if the peer that answers and the relay, if there is one, are allowed.
func (p *Pool) OpenWithin(ctx context.Context, to seampeer.Peer, k Kind, allowed func(seampeer.Peer) bool) (net.Conn, error) {
	return p.open(ctx, to, k, allowed)
}

func (p *Pool) open(ctx context.Context, to seampeer.Peer, k Kind, allowed func(seampeer.Peer) bool) (net.Conn, error) {
	c, err := p.openDirect(ctx, to, k)
	var busy *PoolFullError
	if errors.As(err, &busy) && p.cfg.Relays != nil {
		return p.openRelayed(ctx, to, k, allowed, err)
	}
	if err != nil || allowed == nil {
		return c, err
	}
	if got := c.(*stream).Peer(); !allowed(got) {
		c.Close()
		return nil, &ForbiddenPeerError{Peer: got}
	}
	return c, nil
}

func (p *Pool) openDirect(ctx context.Context, to seampeer.Peer, k Kind) (net.Conn, error) {
	// The session may start to drain between its selection and the opening of the stream: retry once.
	var lastErr error
	for range 2 {
		s, err := p.session(ctx, to)
		if err != nil {
			return nil, err
		}
		c, err := s.open(ctx, k, time.Now())
		if err == nil {
			p.stats.opened.Inc()
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, &UnreachableError{To: to, Cause: ctx.Err()}
		}
		lastErr = err
		s.draining.Store(true)
		p.removeRoute(s)
	}
	return nil, &UnreachableError{To: to, Cause: lastErr}
}

// add starts to serve a session to the address. It reports whether the pool is shutting down, in which case
// the caller must notify the peer.
func (p *Pool) add(s *session, address string) (shuttingDown bool) {
	p.mu.Lock()
	shuttingDown = p.shuttingDown
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
	return shuttingDown
}

func (p *Pool) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(s)
}

func (p *Pool) removeLocked(s *session) {
	delete(p.sessions, s)
	p.removeRouteLocked(s)
}

func (p *Pool) removeRoute(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeRouteLocked(s)
}

func (p *Pool) removeRouteLocked(s *session) {
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
		p.handshakes.Add(1)
		go func() {
			defer p.handshakes.Add(-1)
			p.handshake(c)
		}()
	}
}

// handshake performs the handshake with a peer that dialed and adds the session.
func (p *Pool) handshake(c net.Conn) {
	fullErr := p.reserve()
	if fullErr == nil {
		defer p.unreserve()
	}
	c.SetDeadline(time.Now().Add(p.cfg.DialTimeout))
	hello, err := readHello(c)
	if err != nil || p.isShuttingDown() {
		c.Close()
		return
	}
	peer := PeerFromWire(hello.GetSelf())
	compress := hello.GetCompress() && fullErr == nil && p.compressor.reserve(peer.Region != p.self.Region)
	err = writeHello(c, &seamroutewire.Hello{Self: PeerToWire(p.self), Busy: fullErr != nil, Compress: compress})
	if err != nil || fullErr != nil {
		if compress {
			p.compressor.release()
		}
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	s, err := p.wrap(c, peer, false, compress)
	if err != nil {
		return
	}
	if p.add(s, peer.Address) {
		s.sendGoAway(p.ctx)
	}
}

// serve reads the kind of a stream and passes the stream to its handler.
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
		p.stats.unknownKind.Inc()
		return
	}
	h.ServeStream(ctx, s.peer, &acceptedStream{Conn: c, session: s})
}

// Peers returns the peers to which sessions are open, in no particular order.
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

// Len returns the number of sessions that accept new streams.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countUsable()
}
