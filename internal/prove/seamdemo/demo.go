// Package seamdemo runs a demonstration of the router in one process over loopback sockets: targets
// join, drain and crash, and rules change, all under load. At the end it checks the router's guarantees.
package seamdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamtrace"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/rule/seamclient"
)

// regions lists the regions of the demonstration. Each has two failure domains.
var regions = []string{"erie", "superior", "michigan"}

// Config holds the settings of a demonstration.
type Config struct {
	// For is the minimum duration of the demonstration.
	For time.Duration
	// Seed seeds the random requests.
	Seed uint64
	// Out receives human-readable progress lines.
	Out io.Writer
}

// Summary is the result of a demonstration.
type Summary struct {
	Requests int
	// Failed is the number of requests that were refused, reached no node or got an invalid response.
	Failed  int
	Unknown int
	// Violations lists the violated guarantees.
	Violations []seamcheck.Violation
	// Takeover is the time from the loss of a node until all its slots had an owner again.
	Takeover time.Duration
	// InForce is the time from the write of a selector until every cell had confirmed it.
	InForce time.Duration
}

// String returns the summary line printed at the end.
func (s Summary) String() string {
	return fmt.Sprintf("requests=%d failed=%d unknown=%d violations=%d takeover=%.2f inforce=%.2f",
		s.Requests, s.Failed, s.Unknown, len(s.Violations), s.Takeover.Seconds(), s.InForce.Seconds())
}

// ViolationError reports that guarantees were violated.
type ViolationError struct {
	Violations []seamcheck.Violation
}

// Error returns the number of violations and the first one.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d violations of guarantees, first: %s: %s", len(e.Violations), e.Violations[0].Kind, e.Violations[0].Detail)
}

// demonstration holds the state of a running demonstration.
type demonstration struct {
	cfg     Config
	started time.Time
	fleet   *fleet
	traffic *traffic
	summary Summary
}

// Run runs the demonstration. The error is a *ViolationError if a guarantee was violated.
func Run(ctx context.Context, c Config) (Summary, error) {
	_, stopTracing := seamtrace.New(seamtrace.Config{ServiceName: "demo", SampleRatio: 0.01})
	defer stopTracing()
	f, stop, err := newFleet(c.Seed)
	if err != nil {
		return Summary{}, err
	}
	defer stop()
	s := &demonstration{cfg: c, started: time.Now(), fleet: f}
	if err := s.run(ctx); err != nil {
		return s.summary, err
	}
	s.printf("%s", s.summary)
	if len(s.summary.Violations) > 0 {
		return s.summary, &ViolationError{Violations: s.summary.Violations}
	}
	return s.summary, nil
}

func (s *demonstration) run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(ctx context.Context) error
	}{
		{"twelve instances in three regions start, each a node beside a target", s.startFleet},
		{"a target joins", s.addTarget},
		{"a key becomes hot", s.heatKey},
		{"a node is lost without notice", s.killNode},
		{"a selector is changed", s.changeSelector},
		{"a node drains", s.drainNode},
	}
	for _, x := range steps {
		s.printf("-- %s", x.title)
		if err := x.run(ctx); err != nil {
			return errors.Wrap(err, x.title)
		}
	}
	s.waitRemaining(ctx)
	return s.finish(ctx)
}

// printf prints a line that begins with the time since the start.
func (s *demonstration) printf(format string, values ...any) {
	fmt.Fprintf(s.cfg.Out, "%6.2fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

// waitRemaining keeps the traffic running until the configured minimum duration has passed.
func (s *demonstration) waitRemaining(ctx context.Context) {
	left := s.cfg.For - time.Since(s.started)
	if left <= 0 {
		return
	}
	s.printf("-- traffic continues")
	select {
	case <-ctx.Done():
	case <-time.After(left):
	}
}

// finish stops the traffic and compares the callers' records with the execution logs of the targets.
func (s *demonstration) finish(ctx context.Context) error {
	records := s.traffic.stop()
	bookings, err := s.readBookings(ctx, records)
	if err != nil {
		return err
	}
	s.summary.Requests = len(records)
	s.printNotDone(records)
	for outcome, n := range seamcaller.Count(records) {
		switch outcome {
		case seamcaller.Done:
		case seamcaller.Unknown:
			s.summary.Unknown += n
		default:
			s.summary.Failed += n
		}
	}
	s.summary.Violations = seamcheck.CheckAll(seamcheck.Observations{
		Records:        records,
		ExecutionLog:   s.fleet.executionLog(),
		ExitTimes:      s.fleet.exitTimes(),
		StoredBookings: bookings,
	})
	for _, v := range s.summary.Violations {
		s.printf("violation: %s: %s", v.Kind, v.Detail)
	}
	return nil
}

// printNotDone prints the requests that were not done, counted by service, outcome, reason and server.
func (s *demonstration) printNotDone(records []seamcaller.Record) {
	type group struct {
		service string
		outcome seamcaller.Outcome
		reason  string
		server  string
	}
	counts := map[group]int{}
	for _, x := range records {
		if x.Outcome != seamcaller.Done {
			counts[group{service: x.Service, outcome: x.Outcome, reason: x.Reason, server: x.Server}]++
		}
	}
	for g, n := range counts {
		s.printf("%d requests to %s: %s, %s %s", n, g.service, g.outcome, g.reason, g.server)
	}
}

// readBookings returns the stored bookings of every key for which a booking was requested.
func (s *demonstration) readBookings(ctx context.Context, records []seamcaller.Record) (map[seamcheck.Key][]string, error) {
	client, closeClient := seamcaller.NewClient(s.fleet.ingresses)
	defer closeClient()
	bookings := map[seamcheck.Key][]string{}
	for _, x := range records {
		key := seamcheck.Key{Service: x.Service, Name: x.Key}
		if _, read := bookings[key]; read || x.Kind != seamcaller.Book {
			continue
		}
		ids, err := s.readKey(ctx, client, key)
		if err != nil {
			return nil, err
		}
		bookings[key] = ids
	}
	return bookings, nil
}

// readKey returns the bookings of one key. It retries a failed read a limited number of times.
func (s *demonstration) readKey(ctx context.Context, client *seamcaller.Client, key seamcheck.Key) ([]string, error) {
	const attempts = 20
	var response seamcaller.Record
	for n := range attempts {
		response = client.Send(ctx, seamcaller.Request{
			ID: fmt.Sprintf("check-%s-%d", key.Name, n), Kind: seamcaller.Read, Service: key.Service, Key: key.Name, Deadline: requestDeadline,
		})
		if response.Outcome == seamcaller.Done {
			return response.BookingIDs, nil
		}
		time.Sleep(pollInterval)
	}
	return nil, errors.Newf("read key %s at the end: %s %s", key.Name, response.Outcome, response.Reason)
}

func (s *demonstration) adminClient(i *instance) seamclient.Client {
	return seamclient.Client{Address: i.settings.Admin.Listen}
}
