// Package seamscenario provides what experiments share: it starts a fleet, puts load on it,
// collects the records of callers and targets, and checks them for violations.
package seamscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/rule/seamrule"
)

// Names of the services.
const (
	// KeyedService is partitioned by key, PlainService has no keys.
	KeyedService = "atelierseiten"
	PlainService = "galerie"
)

// slotsPerService is the number of slots that the keyed service's keys are hashed to.
const slotsPerService = 48

// KeyedDocument returns the rule document of the keyed service. Keys that begin with a
// region's name have their home in that region.
func KeyedDocument(regions []string) seamrule.Document {
	d := seamrule.Document{
		Service:   KeyedService,
		Keyed:     &seamrule.Keyed{KeySource: "header:Seam-Key", Slots: slotsPerService},
		Selectors: []seamrule.Selector{{Name: "all"}},
	}
	for _, r := range regions {
		d.Keyed.Homes = append(d.Keyed.Homes, seamrule.Home{Region: r, Prefixes: []string{r + "-"}})
	}
	return d
}

// PlainDocument returns the rule document of the service without keys.
func PlainDocument() seamrule.Document {
	return seamrule.Document{Service: PlainService, Selectors: []seamrule.Selector{{Name: "all"}}}
}

// Scenario is a running fleet and a client that sends requests to it.
type Scenario struct {
	Fleet   *seamfleet.Fleet
	Client  *seamcaller.Client
	Records *seamcaller.Records
	// Random is the seeded source of the experiment's random decisions.
	Random *rand.Rand
	// Logf logs the progress of the experiment.
	Logf func(format string, values ...any)
	// Options are the command-line options.
	Options seamexperiment.Options
	// AnyRegion lets callers use the nodes of all regions instead of only those of the key's region.
	AnyRegion bool

	seed      uint64
	loadCount int

	mu            sync.Mutex
	ownViolations []seamcheck.Violation
	// isTolerated selects the violations that do not fail the experiment; see SetTolerated.
	isTolerated func(seamcheck.Violation) bool
}

// AddViolation adds a violation that the experiment itself found.
func (s *Scenario) AddViolation(v seamcheck.Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownViolations = append(s.ownViolations, v)
	s.Logf("VIOLATION %s: %s", v.Kind, v.Detail)
}

// SetTolerated sets the function that selects tolerated violations. These are losses that the
// router's design does not prevent; they are counted separately and don't fail the experiment.
func (s *Scenario) SetTolerated(f func(seamcheck.Violation) bool) { s.isTolerated = f }

// Start starts a fleet and waits until it serves. The returned function stops it.
func Start(ctx context.Context, cfg seamfleet.Config, o seamexperiment.Options) (*Scenario, func(), error) {
	cfg.Seed, cfg.KeepDirectory = o.Seed, o.KeepDirectory
	if len(cfg.Regions) == 0 {
		cfg.Regions = seamfleet.ReisingerRegions
	}
	if o.Nodes > 0 {
		cfg.Nodes = o.Nodes
	}
	if len(cfg.Services) == 0 {
		cfg.Services = defaultServices(cfg)
	}
	fleet, stopFleet, err := seamfleet.New(ctx, cfg)
	if err != nil {
		return nil, nil, err
	}
	s := &Scenario{
		Fleet: fleet, Records: &seamcaller.Records{}, Logf: o.Logf, Options: o, seed: o.Seed,
		Random: rand.New(rand.NewPCG(o.Seed, 3)),
	}
	client, stopClient := seamcaller.NewClient(s.nodesFor)
	s.Client = client
	stop := func() {
		stopClient()
		stopFleet()
	}
	s.Logf("starting %d nodes in %s", cfg.Nodes, fleet.Directory)
	if err := fleet.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	s.Logf("all nodes are serving")
	return s, stop, nil
}

// defaultServices returns both services, or only the keyed one if there is at most one
// instance for each failure domain.
func defaultServices(cfg seamfleet.Config) []seamrule.Document {
	list := []seamrule.Document{KeyedDocument(cfg.Regions)}
	if cfg.Nodes > len(cfg.Regions)*seamfleet.DomainsPerRegion {
		list = append(list, PlainDocument())
	}
	return list
}

// nodesFor returns the addresses that a caller may send a request to: those of the nodes in the
// key's region, or of all nodes if AnyRegion is set, the request has no key, or no node in the
// region accepts callers.
func (s *Scenario) nodesFor(q seamcaller.Request) []string {
	if s.AnyRegion {
		return s.Fleet.Ingresses()
	}
	for _, r := range s.Fleet.Regions() {
		if len(q.Key) > len(r) && q.Key[:len(r)] == r {
			if list := s.Fleet.IngressesOf(r); len(list) > 0 {
				return list
			}
		}
	}
	return s.Fleet.Ingresses()
}

// RequestMix describes the requests of a load. The fractions add up to at most 1; the
// remaining requests are reads.
type RequestMix struct {
	// BookFraction is the fraction of bookings, EchoFraction that of requests to the plain service.
	BookFraction, EchoFraction float64
	// KeysPerRegion is the number of different keys used in each region.
	KeysPerRegion int
	// Regions are the regions of the keys; nil means all.
	Regions []string
	// MaxEchoBytes bounds the random part of an echo's response size, in bytes.
	MaxEchoBytes int
	// Deadline is the deadline of each request; 0 applies the deadline of the rules.
	Deadline time.Duration
}

// DefaultRequestMix returns a mix of bookings, reads and echoes with short responses.
func DefaultRequestMix() RequestMix {
	return RequestMix{BookFraction: 0.4, EchoFraction: 0.2, KeysPerRegion: 16, MaxEchoBytes: 4 << 10}
}

// RequestGenerator returns a function that generates the random requests of one load.
func (s *Scenario) RequestGenerator(m RequestMix) func(int) seamcaller.Request {
	s.loadCount++
	loadNumber := s.loadCount
	random := rand.New(rand.NewPCG(s.seed, uint64(loadNumber)<<8))
	if !s.Fleet.HasService(PlainService) {
		m.EchoFraction = 0
	}
	regions := m.Regions
	if len(regions) == 0 {
		regions = s.Fleet.Regions()
	}
	return func(n int) seamcaller.Request {
		q := seamcaller.Request{
			ID: fmt.Sprintf("s%d-%d-%d", s.seed, loadNumber, n), Kind: seamcaller.Read, Service: KeyedService,
			Deadline: m.Deadline, Caller: fmt.Sprintf("caller-%d", random.IntN(8)),
		}
		p := random.Float64()
		switch {
		case p < m.BookFraction:
			q.Kind, q.Size = seamcaller.Book, 64
		case p < m.BookFraction+m.EchoFraction:
			q.Kind, q.Service, q.Size = seamcaller.Echo, PlainService, 64+random.IntN(max(m.MaxEchoBytes, 1))
			return q
		}
		q.Key = seamfleet.KeyName(regions[random.IntN(len(regions))], random.IntN(m.KeysPerRegion))
		return q
	}
}

// BackgroundLoad is a load that runs concurrently with the experiment's other steps.
type BackgroundLoad struct {
	stopSending func()
	report      chan seamcaller.Report
}

// StartLoad starts a load whose requests are recorded. The load ends when Stop is called, or after
// an hour.
func (s *Scenario) StartLoad(ctx context.Context, rate float64, m RequestMix) *BackgroundLoad {
	ctx, cancel := context.WithCancel(ctx)
	b := &BackgroundLoad{report: make(chan seamcaller.Report, 1)}
	stopped := make(chan struct{})
	var once sync.Once
	b.stopSending = func() { once.Do(func() { close(stopped) }) }
	next := s.RequestGenerator(m)
	go func() {
		defer cancel()
		b.report <- s.Client.Run(ctx, seamcaller.Load{
			Rate: rate, Duration: time.Hour, Next: next, Records: s.Records, Stop: stopped,
		})
	}()
	return b
}

// Stop ends the load, waits for the requests in flight and returns the report.
func (b *BackgroundLoad) Stop() seamcaller.Report {
	b.stopSending()
	return <-b.report
}

// Sleep waits for d and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	return seamwait.For(ctx, d)
}

const (
	// readBackTimeout bounds the final read of all booked keys.
	readBackTimeout = 30 * time.Second
	// traceLeadTime and maxTraceEvents bound the events in a violation's trace.
	traceLeadTime  = 5 * time.Second
	maxTraceEvents = 400
)

// Evaluate reads the booked keys back, runs all checks and adds their violations and the
// outcomes of the requests to the result.
func (s *Scenario) Evaluate(ctx context.Context, r *seamexperiment.Result) error {
	records := s.Records.All()
	started := time.Now()
	bookings, unread := s.Fleet.ReadBookings(ctx, records, readBackTimeout)
	s.Logf("read bookings of %d keys in %s, keys not served: %v", len(bookings), time.Since(started).Round(time.Millisecond), unread)
	observations, err := s.Fleet.CollectObservations(records)
	if err != nil {
		return err
	}
	observations.StoredBookings = bookings
	violations, tolerated := s.splitTolerated(seamcheck.CheckAll(observations))
	r.Add("tolerated", float64(tolerated), seamexperiment.Count)
	r.Size = len(s.Fleet.Instances)
	r.Add("grants", float64(seamcheck.CountOwnerships(observations)), seamexperiment.Count)
	r.Add("requests", float64(len(records)), seamexperiment.Count)
	counts := seamcaller.Count(records)
	for _, o := range []seamcaller.Outcome{seamcaller.Done, seamcaller.Refused, seamcaller.Unknown, seamcaller.Unreached, seamcaller.InvalidResponse} {
		r.Add(string(o), float64(counts[o]), seamexperiment.Count)
	}
	for _, refusal := range countRefusals(records) {
		r.Add("refused-"+refusal.reason, float64(refusal.count), seamexperiment.Count)
	}
	r.AddAtMost("unreadable-keys", float64(len(unread)), seamexperiment.Count, 0)
	r.AddViolations(violations)
	if len(violations) > 0 {
		r.Trace = s.trace(observations, violations[0])
	}
	return nil
}

// refusalCount is the number of refusals with one reason.
type refusalCount struct {
	reason string
	count  int
}

// countRefusals counts the refusals by reason, sorted by reason.
func countRefusals(records []seamcaller.Record) []refusalCount {
	counts := map[string]int{}
	for _, x := range records {
		if x.Outcome == seamcaller.Refused {
			counts[x.Reason]++
		}
	}
	list := make([]refusalCount, 0, len(counts))
	for reason, n := range counts {
		list = append(list, refusalCount{reason: reason, count: n})
	}
	slices.SortFunc(list, func(a, b refusalCount) int { return strings.Compare(a.reason, b.reason) })
	return list
}

// splitTolerated returns the violations in all and those that the experiment itself found, without
// the tolerated ones, and the number of tolerated ones.
func (s *Scenario) splitTolerated(all []seamcheck.Violation) (violations []seamcheck.Violation, tolerated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range append(all, s.ownViolations...) {
		if s.isTolerated != nil && s.isTolerated(v) {
			tolerated++
			continue
		}
		violations = append(violations, v)
	}
	return violations, tolerated
}

// Finish evaluates an experiment that runs with a single fleet size and returns its result.
func (s *Scenario) Finish(ctx context.Context, r seamexperiment.Result) ([]seamexperiment.Result, error) {
	err := s.Evaluate(ctx, &r)
	return []seamexperiment.Result{r}, err
}

// trace returns the history of the violation's slot and the events around the violation.
func (s *Scenario) trace(observations seamcheck.Observations, v seamcheck.Violation) []string {
	var lines []string
	if v.Service != "" {
		lines = seamcheck.History(observations, v.Service, v.Slot)
	}
	if v.At.IsZero() {
		return lines
	}
	return append(lines, s.Fleet.Events.Format(v.At.Add(-traceLeadTime), v.At.Add(time.Second), maxTraceEvents)...)
}
