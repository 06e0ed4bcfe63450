// Package seamnode assembles a router node that is a member of a cell: store, sessions, key ownership,
// ingress, egress, rules and the operators' API.
package seamnode

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seamdatagram"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamplacer"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
	"cardamomseam/internal/observe/seamtrace"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamconfirm"
	"cardamomseam/internal/rule/seamruleset"
	"cardamomseam/internal/rule/seamrulestore"
)

// Options holds what the process sets in addition to the settings file.
type Options struct {
	// Log receives the log lines.
	Log io.Writer
	// Bridge redirects go-zero's process-wide log to the node's log.
	Bridge bool
	// Ring holds the recent trace spans of the process; nil if tracing is not set up.
	Ring *seamtrace.Ring
}

// Node is a running router node: a member of a cell that routes the requests of callers and manages the keys of
// its own target.
type Node struct {
	settings  seamsetting.Settings
	self      seampeer.Peer
	clock     *seamclock.Clock
	metricSet *metrics.Set
	stream    *seamevent.Stream
	sink      *seamlog.Log
	ring      *seamtrace.Ring

	store     *seamstore.HealthTracker
	datagrams *seamdatagram.Endpoint
	sessions  *seamsession.Pool
	targets   *seamannounce.Registry
	keeper    *seamkeeper.Keeper
	egress    *seamegress.Egress
	keyUsage  *seamsketch.Usage
	ingress   *seamingress.Ingress
	rules     *seamruleset.Set
	ruleStore *seamrulestore.Store
	confirmer *seamconfirm.Confirmer

	// server is nil until the node serves callers.
	server atomic.Pointer[seamingress.Server]

	drainOnce      sync.Once
	drainRequested chan struct{}
}

const (
	// maxCountedKeys is the maximum number of keys whose requests a node counts to find the keys with the highest rates.
	maxCountedKeys = 256
	// keyRateWindow is the decay time constant of the request counts by key.
	keyRateWindow = 10 * time.Second
	// callerRateWindow is the decay time constant of the request counts by caller region.
	callerRateWindow = 30 * time.Second
	// minCallerShare is the minimum share of a slot's requests that must come from one other region for
	// that region to be reported.
	minCallerShare = 0.5
)

// New starts a node. The returned function stops it without draining; for a graceful stop,
// call Drain first.
func New(s seamsetting.Settings, o Options) (*Node, func(), error) {
	clock := seamclock.NewClock()
	n := &Node{
		settings: s,
		self: seampeer.Peer{
			Name:        s.Name,
			Incarnation: uint64(clock.Now().Wall / time.Microsecond),
			Address:     s.Address,
			Region:      s.Region,
			Domain:      s.Domain,
		},
		clock:          clock,
		metricSet:      metrics.NewSet(),
		stream:         seamevent.NewStream(s.Name),
		ring:           o.Ring,
		keyUsage:       seamsketch.NewUsage(maxCountedKeys, keyRateWindow, callerRateWindow),
		drainRequested: make(chan struct{}),
	}
	c := &seamstart.Cleanups{}
	for _, start := range []func(*seamstart.Cleanups, Options) error{
		n.startLog, n.startStore, n.startNetwork, n.startOwnership, n.startRequests, n.startRules, n.startAdmin, n.startAnnouncements,
	} {
		if err := start(c, o); err != nil {
			c.Run()
			return nil, nil, err
		}
	}
	n.sink.Emit(time.Now(), seamevent.NodeStarted, seamevent.Fields{"address": n.self.Address, "incarnation": n.self.Incarnation})
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

func (n *Node) startStore(c *seamstart.Cleanups, _ Options) error {
	store, stop, err := seamstore.New(seamstore.Config{
		Endpoints: n.settings.Store.Endpoints,
		Timeout:   n.settings.Store.Timeout,
		Rate:      n.settings.Store.Rate,
	}, n.metricSet)
	if err != nil {
		return errors.Wrap(err, "create the store client")
	}
	n.store = seamstore.NewHealthTracker(seamstore.NewSharedWatch(store), n.sink)
	c.Add(stop)
	return nil
}

func (n *Node) startNetwork(c *seamstart.Cleanups, _ Options) error {
	datagrams, stop, err := seamdatagram.New(n.settings.Listen, n.self, n.metricSet)
	if err != nil {
		return err
	}
	n.datagrams = datagrams
	c.Add(stop)
	sessions, stop, err := seamsession.New(seamsession.Config{
		Address:     n.settings.Listen,
		MaxSessions: n.settings.Session.Max,
		IdleTimeout: n.settings.Session.Idle,
		Relays:      relaySelector{node: n},
	}, n.self, n.metricSet, n.sink)
	if err != nil {
		return err
	}
	n.sessions = sessions
	c.Add(stop)
	return nil
}

func (n *Node) startOwnership(c *seamstart.Cleanups, _ Options) error {
	n.rules = seamruleset.New(n.sink, n.metricSet)
	source := n.ruleSource()
	keeper, stop, err := seamkeeper.New(keeperConfig(n.settings), n.self, seamkeeper.Dependencies{
		Store:          n.store,
		Datagrams:      cellSender{endpoint: n.datagrams},
		Streams:        cellStreams{sessions: n.sessions},
		Rules:          source,
		Placer:         seamplacer.New(n.settings.Place, n.rules),
		DrainHandler:   n,
		StoreReachable: func() bool { return n.store.Health().Reachable },
		Sink:           n.sink,
		Metrics:        n.metricSet,
		Clock:          n.clock,
	})
	if err != nil {
		return err
	}
	n.keeper = keeper
	c.Add(stop)
	n.sessions.Register(seamsession.Rules, source)
	n.sessions.Register(seamsession.Cells, keeper)
	n.datagrams.Register(seamdatagram.Cell, keeper)
	return nil
}

func keeperConfig(s seamsetting.Settings) seamkeeper.Config {
	cfg := seamkeeper.DefaultConfig()
	cfg.Seeds = s.Peers
	cfg.TrustFencing = s.Target.Fence
	cfg.Cell = cellConfig(s)
	return cfg
}

func cellConfig(s seamsetting.Settings) seamcell.Config {
	cfg := seamcell.DefaultConfig()
	cfg.Heartbeat = s.Cell.Heartbeat
	cfg.CoordinatorLease = s.Cell.Takeover
	cfg.ClockMargin = s.Cell.Margin
	cfg.MaxLease = s.Cell.Grant
	cfg.MaxRulesLag = s.Cell.Confirm
	cfg.RecordTTL = s.Cell.Horizon
	cfg.ReturnTimeout = s.Cell.Return
	cfg.PlanInterval = s.Place.Interval
	cfg.MaxMoves = s.Place.Moves
	cfg.MinMembers = s.Cell.Min
	cfg.MaxMembers = s.Cell.Max
	return cfg
}

func (n *Node) startRules(c *seamstart.Cleanups, _ Options) error {
	n.ruleStore = seamrulestore.New(n.store, n.rules, n.sink, n.metricSet)
	n.confirmer = seamconfirm.New(cellDirectory{keeper: n.keeper}, datagramSender{endpoint: n.datagrams, kind: seamdatagram.Confirm}, n.onNewerRules, n.sink, n.metricSet)
	n.datagrams.Register(seamdatagram.Confirm, seamdatagram.HandlerFunc(func(from seampeer.Peer, payload []byte) {
		n.confirmer.Receive(time.Now(), from, payload)
	}))
	services := &keyedServices{keeper: n.keeper, known: map[string]bool{}}
	c.Add(n.rules.Subscribe(time.Now(), services.apply))
	c.Add(n.rules.Subscribe(time.Now(), n.announceRules))
	watch := &ruleWatch{set: n.rules, store: n.store, keeper: n.keeper}
	c.Add(seamstart.Background(watch.run))
	c.Add(seamstart.Background(n.confirmer.Run))
	return nil
}

// onNewerRules fetches the rules from another node in the background if that node has a later revision.
func (n *Node) onNewerRules(_ time.Time, from seampeer.Peer, revision int64) {
	if revision <= n.rules.Revision() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ruleFetchTimeout)
		defer cancel()
		source := n.ruleSource()
		_ = source.Fetch(ctx, from) // on failure, the watch delivers the rules later
	}()
}

func (n *Node) ruleSource() *ruleSource {
	return &ruleSource{set: n.rules, sessions: n.sessions, store: n.store}
}

// ruleFetchTimeout bounds one fetch of rules from another node.
const ruleFetchTimeout = 2 * time.Second

func (n *Node) startAnnouncements(c *seamstart.Cleanups, _ Options) error {
	_, stop, err := seamannounce.Serve(n.settings.Announce.Listen, n.targets)
	if err != nil {
		return err
	}
	c.Add(stop)
	return nil
}

// startRequests starts the request path: the registry of announced targets, the egress to the node's own
// target and the ingress for callers.
func (n *Node) startRequests(c *seamstart.Cleanups, _ Options) error {
	n.targets = seamannounce.NewRegistry(n.settings.Announce.Life, n.sink, n.keeper)
	egress, stop := seamegress.New(seamegress.Config{
		SlotWaitTimeout:   n.settings.Limit.Patience,
		SlowStartDuration: n.settings.Limit.Warm,
		MaxRecords:        n.settings.Limit.Records,
		DialTimeout:       n.settings.Limit.Dial,
		OnTargetLeaving:   func(a seamtarget.Announcement) { n.targets.MarkIncarnationLeaving(time.Now(), a.Name, a.Started) },
	}, n.self, n.keeper, n.targets, n.clock, n.keyUsage, n.metricSet, n.sink)
	n.egress = egress
	c.Add(stop)
	n.sessions.Register(seamsession.Request, egress)
	n.sessions.Register(seamsession.Void, seamegress.VoidHandler{Egress: egress})
	n.ingress = seamingress.New(seamingress.Config{
		Address:        n.settings.Ingress.Listen,
		MaxBodyBytes:   n.settings.Ingress.Body,
		MaxHeaderBytes: n.settings.Ingress.Header,
		WriteTimeout:   n.settings.Ingress.Slow,
	}, n.self, n.rules, ingressDirectory{n.keeper}, n.sessions, egress, n.metricSet, n.sink)
	c.Add(n.closeServer)
	c.Add(seamstart.Background(n.serveWhenReady))
	c.Add(seamstart.Background(n.reportLoad))
	return nil
}

// readyPollInterval is the interval between checks whether the node may serve callers.
const readyPollInterval = 20 * time.Millisecond

// serveWhenReady starts to listen for callers once the node has rules of at least the required revision.
// Until then connections are refused, so that callers use other nodes.
func (n *Node) serveWhenReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !n.rules.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	server, err := n.ingress.Serve()
	if err != nil {
		n.sink.Emit(time.Now(), seamevent.NodeStopped, seamevent.Fields{"error": err.Error()})
		n.requestDrain() // a node that can't serve callers shuts down gracefully
		return
	}
	n.server.Store(server)
}

func (n *Node) closeServer() {
	if server := n.server.Load(); server != nil {
		_ = server.Close()
	}
}

// Self returns the identity of the node.
func (n *Node) Self() seampeer.Peer { return n.self }

// Events returns the event stream of the node.
func (n *Node) Events() *seamevent.Stream { return n.stream }

// Ready reports whether the node serves callers.
func (n *Node) Ready() bool { return n.server.Load() != nil }

// View returns the node's view of its cell.
func (n *Node) View() seamcell.View { return n.keeper.View() }
