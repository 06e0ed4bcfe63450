// Package seamruleset holds the rules in force at a node. They change only upward.
package seamruleset

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamrule"
)

// Set is the rules in force at a node. Its methods may be called at the same time.
type Set struct {
	sink    seamevent.Sink
	applied *metrics.Counter
	ignored *metrics.Counter
	failed  *metrics.Counter

	// current is nil until the first bundle was applied.
	current  atomic.Pointer[state]
	required atomic.Int64

	// mu orders changes and the calls of subscribers.
	mu          sync.Mutex
	subscribers map[int]func(now time.Time, b Bundle)
	counter     int
}

// state is one bundle with its programs. It never changes.
type state struct {
	bundle   Bundle
	programs map[string]*seamrule.Program
}

// New returns a set that has no rules yet.
func New(sink seamevent.Sink, m *metrics.Set) *Set {
	s := &Set{
		sink:        sink,
		applied:     m.NewCounter(`cardamomseam_rules_applied_total`),
		ignored:     m.NewCounter(`cardamomseam_rules_ignored_total`),
		failed:      m.NewCounter(`cardamomseam_rules_failed_total`),
		subscribers: map[int]func(time.Time, Bundle){},
	}
	m.NewGauge(`cardamomseam_rules_revision`, func() float64 { return float64(s.Revision()) })
	return s
}

// NotReadyError says that this node has no rules yet.
type NotReadyError struct{}

// Error says so.
func (e *NotReadyError) Error() string { return "this node has no rules yet" }

// Status is the HTTP status for the caller.
func (e *NotReadyError) Status() int { return http.StatusServiceUnavailable }

// Reason is the word for the caller.
func (e *NotReadyError) Reason() string { return "rules" }

// Decide returns the choice for a request that a caller in the region sends to the service.
// Errors are *NotReadyError, *seamrule.UnknownServiceError, *seamrule.KeyError and
// *seamrule.UnmatchedError; each has a Status and a Reason for the caller.
func (s *Set) Decide(r *http.Request, service, region string) (seamrule.Decision, error) {
	c := s.current.Load()
	if c == nil {
		return seamrule.Decision{}, &NotReadyError{}
	}
	program, ok := c.programs[service]
	if !ok {
		return seamrule.Decision{}, &seamrule.UnknownServiceError{Service: service}
	}
	key, err := program.Key(r)
	if err != nil {
		return seamrule.Decision{}, err
	}
	choice, err := program.Decide(seamrule.Query{
		Service: service,
		Method:  r.Method,
		Path:    r.URL.Path,
		Key:     key,
		Region:  region,
		Random:  rand.Float64(),
	})
	choice.Revision = c.bundle.Revision
	return choice, err
}

// Revision returns the revision in force, 0 if there is none.
func (s *Set) Revision() int64 {
	return s.Bundle().Revision
}

// Bundle returns the bundle in force.
func (s *Set) Bundle() Bundle {
	c := s.current.Load()
	if c == nil {
		return Bundle{}
	}
	return c.bundle
}

// Version returns the version of the service in force, and whether there is one.
func (s *Set) Version(service string) (seamrule.Version, bool) {
	return s.Bundle().Find(service)
}

// Labels returns the labels by which the service's selectors choose the instance.
func (s *Set) Labels(service string, i seamrule.Instance) map[string]string {
	v, _ := s.Version(service)
	return v.Document.LabelsOf(i)
}

// Require raises the lowest revision at which the set is ready.
func (s *Set) RequireRevision(revision int64) {
	for {
		old := s.required.Load()
		if revision <= old || s.required.CompareAndSwap(old, revision) {
			return
		}
	}
}

// Ready reports whether a bundle was applied and has at least the required revision.
func (s *Set) Ready() bool {
	c := s.current.Load()
	return c != nil && c.bundle.Revision >= s.required.Load()
}

// Subscribe calls f with the bundle in force, if there is one, and with each later one,
// in order and before Apply returns. The returned function ends the subscription.
// f must neither block nor change the set.
func (s *Set) Subscribe(now time.Time, f func(now time.Time, b Bundle)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.counter
	s.counter++
	s.subscribers[id] = f
	if c := s.current.Load(); c != nil {
		f(now, c.bundle)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// Apply puts a complete bundle in force if its revision is higher than the one in force,
// and reports whether it did. No document goes back to a lower revision.
// The error is that of a document which does not compile; then nothing changes.
func (s *Set) Apply(now time.Time, b Bundle) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(now, b.Versions)
}

// ApplyVersions puts later versions of single documents in force, like Apply.
// They must be all that the store has between the set's revision and their highest one.
func (s *Set) ApplyVersions(now time.Time, versions []seamrule.Version) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(now, versions)
}

func (s *Set) apply(now time.Time, versions []seamrule.Version) (bool, error) {
	old := s.current.Load()
	if old == nil {
		old = &state{}
	}
	merged := old.bundle.with(versions)
	if s.current.Load() != nil && merged.Revision <= old.bundle.Revision {
		s.ignored.Inc()
		return false, nil
	}
	next, err := compile(merged, old)
	if err != nil {
		s.fail(now, err)
		return false, err
	}
	s.current.Store(next)
	s.applied.Inc()
	s.sink.Emit(now, seamevent.RuleApplied, seamevent.Fields{"revision": merged.Revision, "before": old.bundle.Revision})
	for _, f := range s.subscribers {
		f(now, merged)
	}
	return true, nil
}

// fail reports versions that cannot be put in force.
func (s *Set) fail(now time.Time, err error) {
	s.failed.Inc()
	s.sink.Emit(now, seamevent.RuleFailed, seamevent.Fields{"error": err.Error()})
}

// compile prepares the documents of the bundle; unchanged ones are taken from old.
func compile(b Bundle, old *state) (*state, error) {
	next := &state{bundle: b, programs: make(map[string]*seamrule.Program, len(b.Versions))}
	for _, v := range b.Versions {
		if v.Deleted {
			continue
		}
		before, known := old.bundle.Find(v.Service)
		if known && before.Revision == v.Revision {
			next.programs[v.Service] = old.programs[v.Service]
			continue
		}
		program, err := seamrule.Compile(v.Document)
		if err != nil {
			return nil, fmt.Errorf("rules of service %q at revision %d: %w", v.Service, v.Revision, err)
		}
		next.programs[v.Service] = program
	}
	return next, nil
}
