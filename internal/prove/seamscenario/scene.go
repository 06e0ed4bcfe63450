// Package seamscenario is the frame that experiments share: a fleet under load, the evidence of
// callers and targets, and the judgement.
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
	// Keyed is a service divided by key, Plain one without keys.
	KeyedService = "atelierseiten"
	PlainService = "galerie"
)

// slotsPerService is the number of slots of the keyed service.
const slotsPerService = 48

// KeyedDocument returns the document of the keyed service, whose keys are at home in the regions.
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

// PlainDocument returns the document of the service without keys.
func PlainDocument() seamrule.Document {
	return seamrule.Document{Service: PlainService, Selectors: []seamrule.Selector{{Name: "all"}}}
}

// Scene is a fleet with callers.
type Scenario struct {
	Fleet   *seamfleet.Fleet
	Client  *seamcaller.Client
	Records *seamcaller.Records
	// Random makes the experiment's decisions.
	Random *rand.Rand
	// Say tells how the experiment goes on.
	Logf func(format string, values ...any)
	// Options are those of the command line.
	Options seamexperiment.Options
	// Anywhere lets callers ask nodes of all regions instead of those of the key's region.
	AnyRegion bool

	seed  uint64
	loads int

	mu    sync.Mutex
	extra []seamcheck.Violation
	// tolerated says of a lost booking whether the loss is one that the product tolerates.
	tolerated func(seamcheck.Violation) bool
}

// Violate adds a violation that the experiment itself found.
func (s *Scenario) AddViolation(v seamcheck.Violation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = append(s.extra, v)
	s.Logf("VIOLATION %s: %s", v.Kind, v.Detail)
}

// Tolerate sets which violations are not counted as broken promises.
func (s *Scenario) SetTolerated(f func(seamcheck.Violation) bool) { s.tolerated = f }

// Open starts a fleet and waits until it serves. The returned function ends it.
func Start(ctx context.Context, cfg seamfleet.Config, o seamexperiment.Options) (*Scenario, func(), error) {
	cfg.Seed, cfg.KeepDirectory = o.Seed, o.KeepDirectory
	if len(cfg.Regions) == 0 {
		cfg.Regions = seamfleet.ReisingerRegions
	}
	if o.Nodes > 0 {
		cfg.Nodes = o.Nodes
	}
	if len(cfg.Services) == 0 {
		cfg.Services = services(cfg)
	}
	fleet, stopFleet, err := seamfleet.New(ctx, cfg)
	if err != nil {
		return nil, nil, err
	}
	s := &Scenario{
		Fleet: fleet, Records: &seamcaller.Records{}, Logf: o.Logf, Options: o, seed: o.Seed,
		Random: rand.New(rand.NewPCG(o.Seed, 3)),
	}
	client, stopClient := seamcaller.NewClient(s.nodes)
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
	s.Logf("every node serves")
	return s, stop, nil
}

// services returns both services, or the keyed one alone if there is just one instance for
// each failure domain.
func services(cfg seamfleet.Config) []seamrule.Document {
	list := []seamrule.Document{KeyedDocument(cfg.Regions)}
	if cfg.Nodes > len(cfg.Regions)*seamfleet.DomainsPerRegion {
		list = append(list, PlainDocument())
	}
	return list
}

// nodes returns the nodes that a request's caller asks: those of the key's region, or all.
func (s *Scenario) nodes(q seamcaller.Request) []string {
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

// Mix says what callers ask for. The parts add up to 1 at most; the rest are reads.
type RequestMix struct {
	// Book is the part of bookings, Echo that of requests to the plain service.
	BookFraction, EchoFraction float64
	// Keys is the number of keys of each region.
	KeysPerRegion int
	// Regions are those of the keys; nil means all.
	Regions []string
	// Size is the largest answer of an echo, in bytes.
	MaxEchoBytes int
	// Deadline is that of each request; 0 leaves it to the rules.
	Deadline time.Duration
}

// DefaultMix has bookings, reads and short answers.
func DefaultRequestMix() RequestMix {
	return RequestMix{BookFraction: 0.4, EchoFraction: 0.2, KeysPerRegion: 16, MaxEchoBytes: 4 << 10}
}

// Next returns a function that draws the requests of a load.
func (s *Scenario) RequestGenerator(m RequestMix) func(int) seamcaller.Request {
	s.loads++
	load := s.loads
	random := rand.New(rand.NewPCG(s.seed, uint64(load)<<8))
	if !s.Fleet.HasService(PlainService) {
		m.EchoFraction = 0
	}
	regions := m.Regions
	if len(regions) == 0 {
		regions = s.Fleet.Regions()
	}
	return func(n int) seamcaller.Request {
		q := seamcaller.Request{
			ID: fmt.Sprintf("s%d-%d-%d", s.seed, load, n), Kind: seamcaller.Read, Service: KeyedService,
			Deadline: m.Deadline, Caller: fmt.Sprintf("caller-%d", random.IntN(8)),
		}
		draw := random.Float64()
		switch {
		case draw < m.BookFraction:
			q.Kind, q.Size = seamcaller.Book, 64
		case draw < m.BookFraction+m.EchoFraction:
			q.Kind, q.Service, q.Size = seamcaller.Echo, PlainService, 64+random.IntN(max(m.MaxEchoBytes, 1))
			return q
		}
		q.Key = seamfleet.KeyName(regions[random.IntN(len(regions))], random.IntN(m.KeysPerRegion))
		return q
	}
}

// Background is a load that runs beside the experiment's other steps.
type BackgroundLoad struct {
	cancel func()
	done   chan seamcaller.Report
}

// Start starts a load whose requests are recorded.
func (s *Scenario) StartLoad(ctx context.Context, rate float64, m RequestMix) *BackgroundLoad {
	ctx, cancel := context.WithCancel(ctx)
	b := &BackgroundLoad{done: make(chan seamcaller.Report, 1)}
	stopped := make(chan struct{})
	var once sync.Once
	b.cancel = func() { once.Do(func() { close(stopped) }) }
	next := s.RequestGenerator(m)
	go func() {
		defer cancel()
		b.done <- s.Client.Run(ctx, seamcaller.Load{
			Rate: rate, Duration: time.Hour, Next: next, Records: s.Records, Stop: stopped,
		})
	}()
	return b
}

// Stop ends the load, waits for the answers in flight and returns the report.
func (b *BackgroundLoad) Stop() seamcaller.Report {
	b.cancel()
	return <-b.done
}

// Wait waits and reports whether ctx still lasts.
func Sleep(ctx context.Context, d time.Duration) bool {
	return seamwait.For(ctx, d)
}

const (
	// readBackLimit bounds the time in which all booked keys are read at the end.
	readBackLimit = 30 * time.Second
	// traceBefore and traceLimit bound the events that a violation's trace holds.
	traceBefore = 5 * time.Second
	traceLimit  = 400
)

// Judge reads the booked keys back, runs all checks and adds their verdicts and the outcomes
// of the requests to the result.
func (s *Scenario) Evaluate(ctx context.Context, r *seamexperiment.Result) error {
	records := s.Records.All()
	began := time.Now()
	present, missing := s.Fleet.ReadBookings(ctx, records, readBackLimit)
	s.Logf("read %d keys back in %s, not served: %v", len(present), time.Since(began).Round(time.Millisecond), missing)
	evidence, err := s.Fleet.CollectObservations(records)
	if err != nil {
		return err
	}
	evidence.StoredBookings = present
	found, tolerated := s.sift(seamcheck.CheckAll(evidence))
	r.Add("tolerated", float64(tolerated), seamexperiment.Count)
	r.Size = len(s.Fleet.Instances)
	r.Add("grants", float64(seamcheck.CountOwnerships(evidence)), seamexperiment.Count)
	r.Add("requests", float64(len(records)), seamexperiment.Count)
	counts := seamcaller.Count(records)
	for _, o := range []seamcaller.Outcome{seamcaller.Done, seamcaller.Refused, seamcaller.Unknown, seamcaller.Unreached, seamcaller.InvalidResponse} {
		r.Add(string(o), float64(counts[o]), seamexperiment.Count)
	}
	for _, w := range reasons(records) {
		r.Add("refused-"+w.word, float64(w.count), seamexperiment.Count)
	}
	r.AddAtMost("unreadable-keys", float64(len(missing)), seamexperiment.Count, 0)
	r.AddViolations(found)
	if len(found) > 0 {
		r.Trace = s.trace(evidence, found[0])
	}
	return nil
}

// reason is a word that nodes gave for refusals.
type reason struct {
	word  string
	count int
}

// reasons counts the refusals by their words, in order of the words.
func reasons(records []seamcaller.Record) []reason {
	counts := map[string]int{}
	for _, x := range records {
		if x.Outcome == seamcaller.Refused {
			counts[x.Reason]++
		}
	}
	list := make([]reason, 0, len(counts))
	for w, n := range counts {
		list = append(list, reason{word: w, count: n})
	}
	slices.SortFunc(list, func(a, b reason) int { return strings.Compare(a.word, b.word) })
	return list
}

// sift adds the experiment's own violations and takes the tolerated ones out.
func (s *Scenario) sift(all []seamcheck.Violation) (found []seamcheck.Violation, tolerated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range append(all, s.extra...) {
		if s.tolerated != nil && s.tolerated(v) {
			tolerated++
			continue
		}
		found = append(found, v)
	}
	return found, tolerated
}

// Finish judges the result of an experiment with one size.
func (s *Scenario) Finish(ctx context.Context, r seamexperiment.Result) ([]seamexperiment.Result, error) {
	err := s.Evaluate(ctx, &r)
	return []seamexperiment.Result{r}, err
}

// trace returns the history of the slot concerned and the events before a violation.
func (s *Scenario) trace(e seamcheck.Observations, v seamcheck.Violation) []string {
	var lines []string
	if v.Service != "" {
		lines = seamcheck.History(e, v.Service, v.Slot)
	}
	if v.At.IsZero() {
		return lines
	}
	return append(lines, s.Fleet.Events.Format(v.At.Add(-traceBefore), v.At.Add(time.Second), traceLimit)...)
}
