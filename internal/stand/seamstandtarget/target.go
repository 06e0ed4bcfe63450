// Package seamstandtarget is a test target: a server that announces itself to its node, accepts
// fenced slot grants, stores bookings by key, replicates them to a standby, and hands its state
// over. It writes an execution log, from which experiments verify invariants.
package seamstandtarget

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
)

// Config configures a Target.
type Config struct {
	// Service is the name of the service.
	Service string
	// Name identifies this incarnation of the target.
	Name string
	// Address is the ip:port to listen on; port 0 selects a free port.
	Address string
	// Node is the address of the node to which the target announces itself; empty for none.
	Node string
	// Labels are the announced labels.
	Labels map[string]string
	// Slots is the maximum number of concurrent requests; further ones are shed.
	Slots int
	// Connections is the announced maximum number of connections.
	Connections int
	// Capabilities are the announced capabilities; without seamtarget.CanFence epochs are not checked.
	Capabilities []string
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// ColdStart makes requests slow for ColdStartDuration after the start.
	ColdStart bool
	// ExecutionLog receives the execution records, in addition to GET /seam/ledger; nil for none.
	ExecutionLog io.Writer
	// MaxRecords is the number of execution records kept in memory; 0 means DefaultMaxRecords,
	// a negative number none.
	MaxRecords int
	// Seed is the seed of the random decisions.
	Seed uint64
}

const (
	// DefaultSlots is the default of Config.Slots.
	DefaultSlots = 12
	// DefaultConnections is the default of Config.Connections.
	DefaultConnections = 110
	// DefaultMaxRecords is the default of Config.MaxRecords.
	DefaultMaxRecords = 100_000
	// ColdStartDuration is the time after the start during which a cold target is slow.
	ColdStartDuration = 3 * time.Second
	// coldStartFactor multiplies the service time of a cold target.
	coldStartFactor = 5
)

// Target is a running test target.
type Target struct {
	cfg          Config
	address      string
	started      time.Time
	executionLog *executionLog
	bookings     *bookings
	grants       *grants
	workload     *workload
	replicator   *replicator
	announce     *announcer
	server       *http.Server
}

// New starts a target and returns it with a function that stops it immediately, without
// draining. The error is that of listening on the address.
func New(cfg Config) (*Target, func(), error) {
	cfg = withDefaults(cfg)
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "cannot listen on target address %s", cfg.Address)
	}
	now := time.Now()
	t := &Target{
		cfg:          cfg,
		address:      listener.Addr().String(),
		started:      now,
		executionLog: newExecutionLog(cfg),
		bookings:     newBookings(),
		grants:       newGrants(),
		workload:     newWorkload(cfg, now),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.announce = newAnnouncer(cfg.Node, t.announcement)
	t.replicator = newReplicator(ctx, t.bookings, t.executionLog, t.announce.announceNow)
	t.server = &http.Server{
		Handler:           t.handler(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState:         t.workload.connStateChanged,
	}
	go func() { _ = t.server.Serve(listener) }()
	var running sync.WaitGroup
	running.Go(func() { t.announce.run(ctx) })
	return t, func() {
		cancel()
		_ = t.server.Close()
		running.Wait()
	}, nil
}

// headerTimeout limits the time to read the headers of a request.
const headerTimeout = 10 * time.Second

func withDefaults(cfg Config) Config {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return cfg
}

// Address returns the ip:port on which the target listens.
func (t *Target) Address() string { return t.address }

// SetBehaviour replaces the behaviour and announces the change.
func (t *Target) SetBehaviour(b Behaviour) {
	t.workload.setBehaviour(b)
	t.announce.announceNow()
}

// ExecutionRecords returns the execution records kept in memory.
func (t *Target) ExecutionRecords() []ExecutionRecord { return t.executionLog.snapshot() }

// Drain announces that the target is stopping, and waits until it holds no slot and has had
// no request for DrainQuietPeriod, or until ctx ends.
func (t *Target) Drain(ctx context.Context) error {
	b := t.workload.behaviour()
	b.Leaving = true
	t.SetBehaviour(b)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !t.idle(time.Now()) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const (
	// DrainQuietPeriod is the time without requests after which a draining target may stop.
	DrainQuietPeriod  = 1500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

func (t *Target) idle(now time.Time) bool {
	return t.grants.count(now) == 0 && t.workload.idleTime(now) > DrainQuietPeriod
}

func (t *Target) announcement(now time.Time) seamtarget.Announcement {
	b := t.workload.behaviour()
	return seamtarget.Announcement{
		Service:        t.cfg.Service,
		Name:           t.cfg.Name,
		Address:        t.address,
		Labels:         t.cfg.Labels,
		MaxConcurrency: t.cfg.Slots,
		Connections:    t.cfg.Connections,
		Capabilities:   t.cfg.Capabilities,
		ColdStart:      t.cfg.ColdStart && now.Sub(t.started) < ColdStartDuration,
		Leaving:        b.Leaving,
		SyncedSlots:    t.replicator.announcedSyncs(),
		RetainedSlots:  t.grants.retained(),
	}
}

func (t *Target) hasCapability(capability string) bool {
	return seamtarget.Announcement{Capabilities: t.cfg.Capabilities}.HasCapability(capability)
}
