// Package seamstandtarget stands in for a target: a server that announces itself to the
// node beside it, takes fenced grants, keeps bookings by key, copies them to a standby,
// hands its state over, and writes a ledger of what it ran for the checks of experiments.
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
	// Name identifies this run of the target.
	Name string
	// Address is the ip:port to listen on; port 0 takes a free one.
	Address string
	// Node is the announcement address of the node beside the target; empty announces nowhere.
	Node string
	// Labels are announced.
	Labels map[string]string
	// Slots is the number of requests that run at once; more are shed.
	Slots int
	// Connections is the number of connections announced.
	Connections int
	// Can lists the announced abilities; without seamtarget.CanFence epochs are not checked.
	Capabilities []string
	// Behaviour is the behaviour at the start.
	Behaviour Behaviour
	// Cold makes the first requests slow, for ColdTime.
	ColdStart bool
	// Ledger takes the lines of the ledger besides GET /seam/ledger; nil for none.
	ExecutionLog io.Writer
	// Keep is the number of ledger lines kept in memory; 0 means DefaultKeep, below 0 none.
	MaxRecords int
	// Seed makes the random decisions repeatable.
	Seed uint64
}

const (
	// DefaultSlots is the number of slots when the configuration states none.
	DefaultSlots = 12
	// DefaultConnections is the number of connections when the configuration states none.
	DefaultConnections = 110
	// DefaultKeep is the number of ledger lines kept in memory.
	DefaultMaxRecords = 100_000
	// ColdTime is the time for which a cold target is slow.
	ColdStartDuration = 3 * time.Second
	// coldFactor multiplies the service time of a cold target.
	coldFactor = 5
)

// Target is a running stand-in.
type Target struct {
	cfg      Config
	address  string
	started  time.Time
	ledger   *ledger
	bookings *bookings
	grants   *grants
	work     *work
	copies   *copier
	announce *announcer
	server   *http.Server
}

// New starts a target and returns it with a function that stops it at once.
func New(cfg Config) (*Target, func(), error) {
	cfg = withDefaults(cfg)
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "target listens on %s", cfg.Address)
	}
	now := time.Now()
	t := &Target{
		cfg:      cfg,
		address:  listener.Addr().String(),
		started:  now,
		ledger:   newLedger(cfg),
		bookings: newBookings(),
		grants:   newGrants(),
		work:     newWork(cfg, now),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.announce = newAnnouncer(cfg.Node, t.announcement)
	t.copies = newCopier(ctx, t.bookings, t.ledger, t.announce.now)
	t.server = &http.Server{
		Handler:           t.handler(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnState:         t.work.connection,
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

// headerTimeout bounds the time in which a request's headers arrive.
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

// Address returns the ip:port where the target takes requests.
func (t *Target) Address() string { return t.address }

// Behave changes the behaviour from now on.
func (t *Target) SetBehaviour(b Behaviour) {
	t.work.behave(b)
	t.announce.now()
}

// Lines returns the kept lines of the ledger.
func (t *Target) ExecutionRecords() []ExecutionRecord { return t.ledger.lines() }

// Leave announces that the target is about to stop and waits until it owns no slot and
// has had no request for QuietTime, or until ctx ends.
func (t *Target) Drain(ctx context.Context) error {
	b := t.work.behaviour()
	b.Leaving = true
	t.SetBehaviour(b)
	tick := time.NewTicker(quietPoll)
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
	// QuietTime is the time without a request after which a leaving target stops.
	DrainQuietPeriod = 1500 * time.Millisecond
	quietPoll        = 50 * time.Millisecond
)

func (t *Target) idle(now time.Time) bool {
	return t.grants.count(now) == 0 && t.work.quiet(now) > DrainQuietPeriod
}

func (t *Target) announcement(now time.Time) seamtarget.Announcement {
	b := t.work.behaviour()
	return seamtarget.Announcement{
		Service:       t.cfg.Service,
		Name:          t.cfg.Name,
		Address:       t.address,
		Labels:        t.cfg.Labels,
		Slots:         t.cfg.Slots,
		Connections:   t.cfg.Connections,
		Capabilities:  t.cfg.Capabilities,
		ColdStart:     t.cfg.ColdStart && now.Sub(t.started) < ColdStartDuration,
		Leaving:       b.Leaving,
		SyncedSlots:   t.copies.synced(),
		RetainedSlots: t.grants.kept(),
	}
}

func (t *Target) can(ability string) bool {
	return seamtarget.Announcement{Capabilities: t.cfg.Capabilities}.HasCapability(ability)
}
