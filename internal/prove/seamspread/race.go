package seamspread

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/rule/seamapi"
)

const (
	raceNodes     = 9
	raceOperators = 8
	// raceChanges is the number of changes that each operator attempts.
	raceChanges  = 15
	applyTimeout = 10 * time.Second
)

// race lets several operators change the same document concurrently, each based on the revision that
// it has read.
func race(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: raceNodes, NoExecutionLog: true}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	t := &changeOutcomes{}
	var running sync.WaitGroup
	for n := range raceOperators {
		running.Go(func() { runOperator(ctx, s, n, roundsOrDefault(o, raceChanges), t) })
	}
	running.Wait()
	r := seamexperiment.Result{}
	t.add(&r)
	if err := checkHistories(ctx, s, t, &r); err != nil {
		return nil, err
	}
	return s.Finish(ctx, r)
}

// changeOutcomes records the outcomes of changes. accepted and unknown hold the writers' names.
type changeOutcomes struct {
	mu           sync.Mutex
	accepted     []string
	unknown      []string
	conflicts    int
	failed       int
	lastRevision int64
}

func (t *changeOutcomes) add(r *seamexperiment.Result) {
	r.Add("accepted", float64(len(t.accepted)), seamexperiment.Count)
	r.Add("conflicts", float64(t.conflicts), seamexperiment.Count)
	r.Add("unknown-changes", float64(len(t.unknown)), seamexperiment.Count)
	r.Add("failed-changes", float64(t.failed), seamexperiment.Count)
}

// record adds the outcome of one change. Without a response, or if the node timed out or lost the
// store's response, the outcome is unknown.
func (t *changeOutcomes) record(writer string, revision int64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var statusErr *seamfleet.StatusError
	switch {
	case err == nil:
		t.accepted = append(t.accepted, writer)
		t.lastRevision = max(t.lastRevision, revision)
	case !errors.As(err, &statusErr):
		t.unknown = append(t.unknown, writer)
	case statusErr.Status == http.StatusConflict || statusErr.Status == http.StatusPreconditionFailed:
		t.conflicts++
	case statusErr.Status == http.StatusGatewayTimeout || statusErr.Status == http.StatusBadGateway:
		t.unknown = append(t.unknown, writer)
	default:
		t.failed++
	}
}

// countUnread counts a failed change. The change was not attempted, because the document could not be read.
func (t *changeOutcomes) countUnread() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

const (
	readRetryTimeout  = 10 * time.Second
	readRetryInterval = 300 * time.Millisecond
)

// retryRead retries a read while the node answers 503, which means that its budget of store calls is
// exhausted, for at most readRetryTimeout.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	end := time.Now().Add(readRetryTimeout)
	for {
		result, err := read()
		var statusErr *seamfleet.StatusError
		if !errors.As(err, &statusErr) || statusErr.Status != http.StatusServiceUnavailable || time.Now().After(end) {
			return result, err
		}
		if !seamscenario.Sleep(ctx, readRetryInterval) {
			return result, ctx.Err()
		}
	}
}

func runOperator(ctx context.Context, s *seamscenario.Scenario, operator, count int, t *changeOutcomes) {
	x := s.Fleet.Instances[operator%len(s.Fleet.Instances)]
	for n := range count {
		current, err := retryRead(ctx, func() (seamapi.RuleResponse, error) { return x.Rule(ctx, seamscenario.PlainService) })
		if err != nil {
			t.countUnread()
			continue
		}
		writer := writerName(operator, n)
		r, err := x.PutRuleAtRevision(ctx, seamscenario.DocumentVariant(writer), current.Revision, writer)
		t.record(writer, r.Revision, err)
	}
}

// checkHistories checks that each accepted change is in the history exactly once, and that every node
// returns the same history.
func checkHistories(ctx context.Context, s *seamscenario.Scenario, t *changeOutcomes, r *seamexperiment.Result) error {
	s.CheckRevisionApplied(ctx, seamscenario.PlainService, t.lastRevision, applyTimeout)
	var first []string
	differing := 0
	for _, x := range s.Fleet.Instances {
		h, err := retryRead(ctx, func() (seamapi.History, error) { return x.RuleHistory(ctx, seamscenario.PlainService) })
		if err != nil {
			return errors.Wrap(err, x.Name)
		}
		var writers []string
		for _, c := range slices.Backward(h.Changes) {
			writers = append(writers, c.Writer)
		}
		if first == nil {
			first = writers
		}
		if !slices.Equal(first, writers) {
			differing++
		}
	}
	r.AddAtMost("histories-differing", float64(differing), seamexperiment.Count, 0)
	r.AddAtMost("accepted-missing", float64(countHistoryErrors(s, first, t)), seamexperiment.Count, 0)
	return nil
}

// countHistoryErrors counts the accepted changes that are not in the history exactly once, and the changes
// of unknown outcome that are in it more than once. It adds a violation for each.
func countHistoryErrors(s *seamscenario.Scenario, history []string, t *changeOutcomes) int {
	seen := map[string]int{}
	for _, w := range history {
		seen[w]++
	}
	count := 0
	for _, w := range t.accepted {
		if seen[w] != 1 {
			count++
			s.AddViolation(seamcheck.Violation{
				Kind: seamcheck.RevisionRegression, Detail: fmt.Sprintf("accepted change %s is in the history %d times", w, seen[w]),
			})
		}
	}
	for _, w := range t.unknown {
		if seen[w] > 1 {
			count++
			s.AddViolation(seamcheck.Violation{
				Kind: seamcheck.RevisionRegression, Detail: fmt.Sprintf("change %s of unknown outcome is in the history %d times", w, seen[w]),
			})
		}
	}
	return count
}
