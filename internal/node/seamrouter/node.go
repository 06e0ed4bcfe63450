package seamrouter

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
	"cardamomseam/internal/observe/seamtrace"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamholder"
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

	store    seamstore.LeaseStore
	health   storeHealth
	roll     *seammembership.MemberList
	entry    *seammembership.Registration
	registry *seamelection.Registry
	mirror   *seammirror.Mirror
	book     *seamroutes.ActiveTable
	raw      atomic.Pointer[rawRules]
	targets  *seamannounce.Registry
	runner   *seamholder.Runner
	// stopRunner ends the orders to the target and the beats to the assigner.
	stopRunner func()
	sessions   *seamsession.Pool
	egress     *seamegress.Egress
	ingress    *seamingress.Ingress
	server     *seamingress.Server

	officeMu sync.Mutex
	offices  map[string]*seamelection.Elector
	leaving  atomic.Bool
	// retry and stop are settings that change while the node runs.
	retry  atomic.Pointer[seamsetting.Retry]
	stop   atomic.Pointer[seamsetting.Stop]
	behind chan seampeer.Peer
	// awaited is signalled when a request waits for another owner than one that is lost.
	awaited chan struct{}
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
		offices: map[string]*seamelection.Elector{},
		behind:  make(chan seampeer.Peer, 1),
		awaited: make(chan struct{}, 1),
	}
	n.retry.Store(&s.Retry)
	n.stop.Store(&s.Stop)
	c := &seamstart.Cleanups{}
	for _, start := range []func(*seamstart.Cleanups, Options) error{
		n.startLog, n.startStore, n.startSessions, n.startOwnership, n.startRequests, n.startFollowing, n.startServers,
	} {
		if err := start(c, o); err != nil {
			c.Run()
			return nil, nil, err
		}
	}
	n.sink.Emit(time.Now(), seamevent.NodeStarted, seamevent.Fields{
		"address": n.self.Address, "incarnation": n.self.Incarnation, "region": s.Region, "domain": s.Domain,
	})
	return n, func() {
		c.Run()
		n.set.UnregisterAllMetrics()
	}, nil
}

func (n *Node) startLog(c *seamstart.Cleanups, o Options) error {
	sink, err := seamstart.StartLog(c, seamstart.LogConfig{
		Node:   n.settings.Name,
		Log:    n.settings.Log,
		Out:    o.Log,
		Bridge: o.Bridge,
	}, n.stream, n.set)
	n.sink = sink
	return err
}

func (n *Node) startSessions(c *seamstart.Cleanups, _ Options) error {
	sessions, stop, err := seamsession.New(sessionConfig(n.settings), n.self, n.set, n.sink)
	if err != nil {
		return err
	}
	n.sessions = sessions
	c.Add(stop)
	sessions.Register(seamsession.Sync, syncHandler{n})
	sessions.Register(seamsession.Heartbeats, beatHandler{n})
	sessions.Register(seamsession.Resignations, farewellHandler{n})
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
	return seamsession.Config{Address: s.Listen, MaxSessions: sessionLimit, AckTimeout: sessionSilence, ProbeTimeout: sessionAnswer, LazyProbes: true}
}
