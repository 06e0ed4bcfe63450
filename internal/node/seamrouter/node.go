package seamrouter

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
	"cardamomseam/internal/observe/seamtrace"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamevacuate"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamroutes"
)

// Options holds what the process sets in addition to the settings file.
type Options struct {
	// Log receives the log lines.
	Log io.Writer
	// Bridge redirects go-zero's process-wide log to the node's log.
	Bridge bool
	// Ring holds the spans of the process; nil if tracing is not set up.
	Ring *seamtrace.Ring
}

// Node is a running router node: it serves callers and reports to the assigner for its target.
type Node struct {
	settings seamsetting.Router
	adapter  Adapter
	self     seampeer.Peer
	clock    *seamclock.Clock
	started  seamclock.Instant
	// startedAt is the time of the start on the clocks of package time.
	startedAt time.Time
	metricSet *metrics.Set
	stream    *seamevent.Stream
	sink      *seamlog.Log
	ring      *seamtrace.Ring

	store   seamstore.LeaseStore
	health  storeHealth
	members *seammembership.MemberList
	// candidates are those of the latest view of the members that was used.
	candidates   atomic.Pointer[candidates]
	registration *seammembership.Registration
	registry     *seamelection.Registry
	feed         *seamfeed.Feed
	routes       *seamroutes.ActiveTable
	routesEntry  atomic.Pointer[routesEntry]
	targets      *seamannounce.Registry
	runner       *seamholder.Runner
	// stopRunner stops the grants to the target and the heartbeats to the assigner.
	stopRunner func()
	sessions   *seamsession.Pool
	egress     *seamegress.Egress
	ingress    *seamingress.Ingress
	server     *seamingress.Server

	poison *seampoison.Guard
	// guard bounds the memory and the connections of callers.
	guard *seamguard.Guard

	evacuations seamevacuate.Set
	// assumeCold tells the egress that the target may be cold; nil until the egress has started.
	assumeCold atomic.Pointer[func(now time.Time)]

	electorsMu sync.Mutex
	electors   map[string]*seamelection.Elector
	draining   atomic.Bool
	// retry and stop are the settings that can be reloaded at run time.
	retry       atomic.Pointer[seamsetting.Retry]
	stop        atomic.Pointer[seamsetting.Stop]
	newerRoutes *revisionPeers
	// tablesWanted is signalled when a request waits for a new owner because the known one is lost.
	tablesWanted chan struct{}
}

// New starts a node. The returned function stops it at once; for a graceful stop,
// call Drain first.
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
		clock:        clock,
		started:      clock.Now(),
		startedAt:    time.Now(),
		metricSet:    metrics.NewSet(),
		stream:       seamevent.NewStream(s.Name),
		ring:         o.Ring,
		electors:     map[string]*seamelection.Elector{},
		newerRoutes:  newRevisionPeers(),
		tablesWanted: make(chan struct{}, 1),
	}
	n.evacuations.BeforeEnd = n.beforeReinstatement
	n.poison = &seampoison.Guard{Table: seampoison.New(), Begin: n.beginPoisonTrial}
	n.metricSet.NewGauge("cardamomseam_poison_suspected", func() float64 { return float64(n.poison.Suspected()) })
	n.metricSet.NewGauge("cardamomseam_poison_quarantined", func() float64 { return float64(len(n.poison.Records())) })
	n.guard = seamguard.New(int64(s.Memory)<<20, n.metricSet, n.reportLimit)
	n.retry.Store(&s.Retry)
	n.stop.Store(&s.Stop)
	c := &seamstart.Cleanups{}
	for _, start := range []func(*seamstart.Cleanups, Options) error{
		n.startLog, n.startStore, n.startSessions, n.startOwnership, n.startRequests, n.startStoreSync, n.startServers,
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
		n.metricSet.UnregisterAllMetrics()
	}, nil
}

func (n *Node) startLog(c *seamstart.Cleanups, o Options) error {
	sink, err := seamstart.StartLog(c, seamstart.LogConfig{
		Node:   n.settings.Name,
		Log:    n.settings.Log,
		Out:    o.Log,
		Bridge: o.Bridge,
	}, n.stream, n.metricSet)
	n.sink = sink
	return err
}

func (n *Node) startSessions(c *seamstart.Cleanups, _ Options) error {
	sessions, stop, err := seamsession.New(sessionConfig(n.settings), n.self, n.metricSet, n.sink)
	if err != nil {
		return err
	}
	n.sessions = sessions
	c.Add(stop)
	sessions.Register(seamsession.Sync, syncHandler{n})
	sessions.Register(seamsession.Feed, n.feed)
	sessions.Register(seamsession.Pieces, n.feed.PieceServer())
	sessions.Register(seamsession.Heartbeats, heartbeatHandler{n})
	sessions.Register(seamsession.Resignations, resignationHandler{n})
	return nil
}

const (
	// maxSessions is the maximum number of open sessions of a node.
	maxSessions = 512
	// peerAckTimeout is the time without an acknowledgement from the peer's machine after which a session is closed.
	peerAckTimeout = 1500 * time.Millisecond
	// probeReplyTimeout is the time without a reply to a probe after which a session is closed.
	probeReplyTimeout = time.Second
)

func sessionConfig(s seamsetting.Router) seamsession.Config {
	return seamsession.Config{
		Address:      s.Listen,
		MaxSessions:  maxSessions,
		AckTimeout:   peerAckTimeout,
		ProbeTimeout: probeReplyTimeout,
		LazyProbes:   true,
		Compression:  sessionCompression(s),
	}
}

const (
	// narrowLink is the rate of a link, in Mbit/s, below which sessions with other regions are compressed. Over faster
	// links the processor time weighs more than the bytes.
	narrowLink = 1000
	// compressionMemoryDivisor is the ratio of the node's memory limit to the memory for the state of compressed sessions.
	compressionMemoryDivisor = 4
	// defaultCompressionBytes is the memory for the state of compressed sessions if the node has no memory limit.
	defaultCompressionBytes = 64 << 20
)

// sessionCompression returns which sessions are compressed by the settings.
func sessionCompression(s seamsetting.Router) seamsession.Compression {
	c := seamsession.Compression{OtherRegions: s.Link > 0 && s.Link < narrowLink, MaxBytes: defaultCompressionBytes}
	if s.Memory > 0 {
		c.MaxBytes = int64(s.Memory) << 20 / compressionMemoryDivisor
	}
	return c
}
