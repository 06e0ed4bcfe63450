package seamrouter

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamroll"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
	"cardamomseam/internal/observe/seamtrace"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamhold"
	"cardamomseam/internal/own/seamoffice"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamroutes"
)

// Options are what a process adds to the settings.
type Options struct {
	// Log takes the lines of the log.
	Log io.Writer
	// Bridge writes go-zero's log, which is one for the process, through the node's log.
	Bridge bool
	// Ring holds the spans of the process; nil if tracing is not set up.
	Ring *seamtrace.Ring
}

// Node is a running node.
type Node struct {
	settings seamsetting.Router
	adapter  Adapter
	self     seampeer.Peer
	clock    *seamclock.Clock
	began    seamclock.Instant
	set      *metrics.Set
	stream   *seamevent.Stream
	sink     *seamlog.Log
	ring     *seamtrace.Ring

	store    seamstore.Shared
	health   storeHealth
	roll     *seamroll.Roll
	entry    *seamroll.Entry
	registry *seamoffice.Registry
	mirror   *seammirror.Mirror
	book     *seamroutes.Book
	raw      atomic.Pointer[rawRules]
	targets  *seamannounce.Registry
	runner   *seamhold.Runner
	// stopRunner ends the orders to the target and the beats to the assigner.
	stopRunner func()
	sessions   *seamsession.Pool
	egress     *seamegress.Egress
	ingress    *seamingress.Ingress
	server     *seamingress.Server

	officeMu sync.Mutex
	offices  map[string]*seamoffice.Office
	leaving  atomic.Bool
	// retry and stop are settings that change while the node runs.
	retry  atomic.Pointer[seamsetting.Retry]
	stop   atomic.Pointer[seamsetting.Stop]
	behind chan seampeer.Peer
}

// New starts a node. The clean-up function stops it at once; a planned stop
// calls Drain first.
func New(s seamsetting.Router, a Adapter, o Options) (*Node, func(), error) {
	clock := seamclock.NewClock()
	n := &Node{
		settings: s,
		adapter:  a,
		self: seampeer.Peer{
			Name:        s.Name,
			Incarnation: uint64(clock.Now().Wall / time.Microsecond),
			Address:     s.Listen,
			Region:      s.Region,
			Domain:      s.Domain,
		},
		clock:   clock,
		began:   clock.Now(),
		set:     metrics.NewSet(),
		stream:  seamevent.NewStream(s.Name),
		ring:    o.Ring,
		offices: map[string]*seamoffice.Office{},
		behind:  make(chan seampeer.Peer, 1),
	}
	n.retry.Store(&s.Retry)
	n.stop.Store(&s.Stop)
	c := &cleanups{}
	for _, start := range []func(*cleanups, Options) error{
		n.startLog, n.startStore, n.startSessions, n.startOwnership, n.startRequests, n.startFollowing, n.startServers,
	} {
		if err := start(c, o); err != nil {
			c.run()
			return nil, nil, err
		}
	}
	n.sink.Emit(time.Now(), seamevent.NodeStarted, seamevent.Fields{
		"address": n.self.Address, "incarnation": n.self.Incarnation, "region": s.Region, "domain": s.Domain,
	})
	return n, func() {
		c.run()
		n.set.UnregisterAllMetrics()
	}, nil
}

func (n *Node) startLog(c *cleanups, o Options) error {
	sink, stop, err := seamlog.New(seamlog.Config{
		Node:   n.settings.Name,
		Level:  n.settings.Log.Level,
		Format: n.settings.Log.Format,
		Out:    o.Log,
	}, n.stream, n.set)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	n.sink = sink
	c.add(stop)
	if o.Bridge {
		c.add(seamlog.Bridge(sink))
	}
	return nil
}

func (n *Node) startSessions(c *cleanups, _ Options) error {
	sessions, stop, err := seamsession.New(sessionConfig(n.settings), n.self, n.set, n.sink)
	if err != nil {
		return err
	}
	n.sessions = sessions
	c.add(stop)
	sessions.Register(seamsession.Sync, syncHandler{n})
	sessions.Register(seamsession.Beats, beatHandler{n})
	return nil
}

const (
	// sessionLimit is the number of sessions that a node keeps.
	sessionLimit = 512
	// sessionSilence is the time without a sign of the peer's machine after which a session is given up.
	sessionSilence = 1500 * time.Millisecond
	// sessionAnswer is the time without an answer to a probe after which a session is given up.
	sessionAnswer = time.Second
)

func sessionConfig(s seamsetting.Router) seamsession.Config {
	return seamsession.Config{Address: s.Listen, Max: sessionLimit, Silence: sessionSilence, Answer: sessionAnswer, Lazy: true}
}

// background runs f until the returned function is called, which waits for its end.
func background(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// cleanups runs clean-up functions in reverse order.
type cleanups struct {
	functions []func()
}

func (c *cleanups) add(f func()) {
	c.functions = append(c.functions, f)
}

func (c *cleanups) run() {
	for i := len(c.functions) - 1; i >= 0; i-- {
		c.functions[i]()
	}
	c.functions = nil
}
