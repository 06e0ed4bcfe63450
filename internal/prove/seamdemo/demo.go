// Package seamdemo shows every mechanism of the router in one process, over
// loopback sockets, while real traffic flows, and checks the promises at the end.
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

// regions are those of the demonstration; each has two failure domains.
var regions = []string{"erie", "superior", "michigan"}

// Config holds the settings of a demonstration.
type Config struct {
	// For is the time for which the demonstration runs.
	For time.Duration
	// Seed makes the traffic repeatable.
	Seed uint64
	// Out takes readable lines.
	Out io.Writer
}

// Summary is the result of a demonstration.
type Summary struct {
	Requests int
	// Failed is the number of requests that were refused, or wrong, in the end.
	Failed  int
	Unknown int
	// Violations are broken promises.
	Violations []seamcheck.Violation
	// Takeover is the time from the loss of a node until all its slots were served again.
	Takeover time.Duration
	// InForce is the time from writing a selector until every cell had confirmed it.
	InForce time.Duration
}

// String returns the closing line.
func (s Summary) String() string {
	return fmt.Sprintf("requests=%d failed=%d unknown=%d violations=%d takeover=%.2f inforce=%.2f",
		s.Requests, s.Failed, s.Unknown, len(s.Violations), s.Takeover.Seconds(), s.InForce.Seconds())
}

// ViolationError says that promises were broken.
type ViolationError struct {
	Violations []seamcheck.Violation
}

// Error names the first broken promise.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d promises broken, first: %s: %s", len(e.Violations), e.Violations[0].Kind, e.Violations[0].Detail)
}

// show is a running demonstration.
type show struct {
	cfg     Config
	started time.Time
	fleet   *fleet
	traffic *traffic
	summary Summary
}

// Run runs the demonstration. The error is *ViolationError if a promise was broken.
func Run(ctx context.Context, c Config) (Summary, error) {
	_, stopTracing := seamtrace.New(seamtrace.Config{ServiceName: "demo", SampleRatio: 0.01})
	defer stopTracing()
	f, stop, err := newFleet(c.Seed)
	if err != nil {
		return Summary{}, err
	}
	defer stop()
	s := &show{cfg: c, started: time.Now(), fleet: f}
	if err := s.run(ctx); err != nil {
		return s.summary, err
	}
	s.say("%s", s.summary)
	if len(s.summary.Violations) > 0 {
		return s.summary, &ViolationError{Violations: s.summary.Violations}
	}
	return s.summary, nil
}

func (s *show) run(ctx context.Context) error {
	steps := []struct {
		title string
		act   func(ctx context.Context) error
	}{
		{"twelve instances in three regions start, each a node beside a target", s.start},
		{"a target joins", s.join},
		{"a key becomes hot", s.heat},
		{"a node is lost without notice", s.lose},
		{"a selector is changed", s.change},
		{"a node drains", s.drain},
	}
	for _, x := range steps {
		s.say("-- %s", x.title)
		if err := x.act(ctx); err != nil {
			return errors.Wrap(err, x.title)
		}
	}
	s.rest(ctx)
	return s.close(ctx)
}

// say prints one line with the time since the start.
func (s *show) say(format string, values ...any) {
	fmt.Fprintf(s.cfg.Out, "%6.2fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

// rest lets traffic flow until the time of the demonstration is over.
func (s *show) rest(ctx context.Context) {
	left := s.cfg.For - time.Since(s.started)
	if left <= 0 {
		return
	}
	s.say("-- traffic goes on")
	select {
	case <-ctx.Done():
	case <-time.After(left):
	}
}

// close stops the traffic and checks what callers were told against what targets ran.
func (s *show) close(ctx context.Context) error {
	records := s.traffic.stop()
	present, err := s.present(ctx, records)
	if err != nil {
		return err
	}
	s.summary.Requests = len(records)
	s.reasons(records)
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
		ExecutionLog:   s.fleet.ledger(),
		ExitTimes:      s.fleet.ended(),
		StoredBookings: present,
	})
	for _, v := range s.summary.Violations {
		s.say("broken promise: %s: %s", v.Kind, v.Detail)
	}
	return nil
}

// reasons tells why requests were not done.
func (s *show) reasons(records []seamcaller.Record) {
	type reason struct {
		service string
		outcome seamcaller.Outcome
		word    string
		server  string
	}
	counts := map[reason]int{}
	for _, x := range records {
		if x.Outcome != seamcaller.Done {
			counts[reason{service: x.Service, outcome: x.Outcome, word: x.Reason, server: x.Server}]++
		}
	}
	for r, n := range counts {
		s.say("%d requests for %s: %s, %s %s", n, r.service, r.outcome, r.word, r.server)
	}
}

// present reads the bookings of every key that was booked.
func (s *show) present(ctx context.Context, records []seamcaller.Record) (map[seamcheck.Key][]string, error) {
	client, closeClient := seamcaller.NewClient(s.fleet.ingresses)
	defer closeClient()
	found := map[seamcheck.Key][]string{}
	for _, x := range records {
		key := seamcheck.Key{Service: x.Service, Name: x.Key}
		if _, read := found[key]; read || x.Kind != seamcaller.Book {
			continue
		}
		ids, err := s.read(ctx, client, key)
		if err != nil {
			return nil, err
		}
		found[key] = ids
	}
	return found, nil
}

// read reads the bookings of one key; a refused read is repeated.
func (s *show) read(ctx context.Context, client *seamcaller.Client, key seamcheck.Key) ([]string, error) {
	const attempts = 20
	var answer seamcaller.Record
	for n := range attempts {
		answer = client.Send(ctx, seamcaller.Request{
			ID: fmt.Sprintf("check-%s-%d", key.Name, n), Kind: seamcaller.Read, Service: key.Service, Key: key.Name, Deadline: requestDeadline,
		})
		if answer.Outcome == seamcaller.Done {
			return answer.BookingIDs, nil
		}
		time.Sleep(look)
	}
	return nil, errors.Newf("key %s cannot be read at the end: %s %s", key.Name, answer.Outcome, answer.Reason)
}

func (s *show) api(i *instance) seamclient.Client {
	return seamclient.Client{Address: i.settings.Admin.Listen}
}
