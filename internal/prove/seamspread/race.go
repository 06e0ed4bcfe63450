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
	raceNodes = 9
	operators = 8
	// raceChanges is the number of changes that each operator tries.
	raceChanges = 15
	raceWait    = 10 * time.Second
)

// race lets operators change the same document, each on top of what it has read.
func race(ctx context.Context, o seamexperiment.Options) ([]seamexperiment.Result, error) {
	s, stop, err := seamscenario.Start(ctx, seamfleet.Config{Nodes: raceNodes, NoExecutionLog: true}, o)
	if err != nil {
		return nil, err
	}
	defer stop()
	t := &tally{}
	var running sync.WaitGroup
	for n := range operators {
		running.Go(func() { operate(ctx, s, n, changes(o, raceChanges), t) })
	}
	running.Wait()
	r := seamexperiment.Result{}
	t.add(&r)
	if err := checkHistories(ctx, s, t, &r); err != nil {
		return nil, err
	}
	return s.Finish(ctx, r)
}

// tally counts the outcomes of changes.
type tally struct {
	mu        sync.Mutex
	accepted  []string
	unknown   []string
	conflicts int
	failed    int
	last      int64
}

func (t *tally) add(r *seamexperiment.Result) {
	r.Add("accepted", float64(len(t.accepted)), seamexperiment.Count)
	r.Add("conflicts", float64(t.conflicts), seamexperiment.Count)
	r.Add("unknown-changes", float64(len(t.unknown)), seamexperiment.Count)
	r.Add("failed-changes", float64(t.failed), seamexperiment.Count)
}

// note sorts the outcome of one change.
func (t *tally) note(writer string, revision int64, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var answer *seamfleet.StatusError
	switch {
	case err == nil:
		t.accepted = append(t.accepted, writer)
		t.last = max(t.last, revision)
	case !errors.As(err, &answer):
		t.unknown = append(t.unknown, writer)
	case answer.Status == http.StatusConflict || answer.Status == http.StatusPreconditionFailed:
		t.conflicts++
	case answer.Status == http.StatusGatewayTimeout || answer.Status == http.StatusBadGateway:
		t.unknown = append(t.unknown, writer)
	default:
		t.failed++
	}
}

// unread counts a change that was not tried, because the document could not be read.
func (t *tally) unread() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

const (
	patience     = 10 * time.Second
	patientPause = 300 * time.Millisecond
)

// patient repeats a read while the node says that its store calls are used up.
func patient[T any](ctx context.Context, read func() (T, error)) (T, error) {
	end := time.Now().Add(patience)
	for {
		found, err := read()
		var answer *seamfleet.StatusError
		if !errors.As(err, &answer) || answer.Status != http.StatusServiceUnavailable || time.Now().After(end) {
			return found, err
		}
		if !seamscenario.Sleep(ctx, patientPause) {
			return found, ctx.Err()
		}
	}
}

func operate(ctx context.Context, s *seamscenario.Scenario, operator, count int, t *tally) {
	x := s.Fleet.Instances[operator%len(s.Fleet.Instances)]
	for n := range count {
		page, err := patient(ctx, func() (seamapi.RuleResponse, error) { return x.Rule(ctx, seamscenario.PlainService) })
		if err != nil {
			t.unread()
			continue
		}
		writer := writerName(operator, n)
		r, err := x.PutRuleAtRevision(ctx, seamscenario.DocumentVariant(writer), page.Revision, writer)
		t.note(writer, r.Revision, err)
	}
}

// checkHistories checks that each accepted change stands exactly once in the history, and
// that the history is the same through every node.
func checkHistories(ctx context.Context, s *seamscenario.Scenario, t *tally, r *seamexperiment.Result) error {
	s.CheckRevisionApplied(ctx, seamscenario.PlainService, t.last, raceWait)
	var first []string
	differing := 0
	for _, x := range s.Fleet.Instances {
		h, err := patient(ctx, func() (seamapi.History, error) { return x.RuleHistory(ctx, seamscenario.PlainService) })
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
	r.AddAtMost("accepted-missing", float64(misplaced(s, first, t)), seamexperiment.Count, 0)
	return nil
}

// misplaced counts accepted changes that don't stand exactly once in a history.
func misplaced(s *seamscenario.Scenario, history []string, t *tally) int {
	seen := map[string]int{}
	for _, w := range history {
		seen[w]++
	}
	wrong := 0
	for _, w := range t.accepted {
		if seen[w] != 1 {
			wrong++
			s.AddViolation(seamcheck.Violation{
				Kind: seamcheck.RevisionRegression, Detail: fmt.Sprintf("accepted change %s stands %d times in the history", w, seen[w]),
			})
		}
	}
	for _, w := range t.unknown {
		if seen[w] > 1 {
			wrong++
			s.AddViolation(seamcheck.Violation{
				Kind: seamcheck.RevisionRegression, Detail: fmt.Sprintf("change %s of unknown outcome stands %d times in the history", w, seen[w]),
			})
		}
	}
	return wrong
}
