// Package seamruleset holds the active rules of a node and keeps them in sync with the store and with
// peers. The revision of the rules, and that of each service, never decreases.
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

// Set holds the active rules of a node. It is safe for concurrent use.
type Set struct {
	sink    seamevent.Sink
	applied *metrics.Counter
	ignored *metrics.Counter
	failed  *metrics.Counter

	// current is nil until the first bundle has been applied.
	current  atomic.Pointer[snapshot]
	required atomic.Int64

	// mu serializes changes and the calls to subscribers.
	mu          sync.Mutex
	subscribers map[int]func(now time.Time, b Bundle)
	nextID      int
}

// snapshot is a bundle with its compiled programs. It is immutable.
type snapshot struct {
	bundle   Bundle
	programs map[string]*seamrule.Program
}

// New returns a set without rules.
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

// NotReadyError reports that this node has no rules yet.
type NotReadyError struct{}

// Error states that this node has no rules yet.
func (e *NotReadyError) Error() string { return "this node has no rules yet" }

// Status returns the HTTP status for the caller.
func (e *NotReadyError) Status() int { return http.StatusServiceUnavailable }

// Reason returns the refusal reason for the caller.
func (e *NotReadyError) Reason() string { return "rules" }

// Decide returns the decision for a request that a caller in the region sends to the service.
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
	decision, err := program.Decide(seamrule.Query{
		Service: service,
		Method:  r.Method,
		Path:    r.URL.Path,
		Key:     key,
		Region:  region,
		Random:  rand.Float64(),
	})
	decision.Revision = c.bundle.Revision
	return decision, err
}

// Revision returns the revision of the active rules, or 0 if there are none.
func (s *Set) Revision() int64 {
	return s.Bundle().Revision
}

// Bundle returns the active bundle, which is empty if none has been applied.
func (s *Set) Bundle() Bundle {
	c := s.current.Load()
	if c == nil {
		return Bundle{}
	}
	return c.bundle
}

// Version returns the active version of the service's rules, and whether there is one.
func (s *Set) Version(service string) (seamrule.Version, bool) {
	return s.Bundle().Find(service)
}

// Labels returns the labels of the instance that the service's selectors match.
func (s *Set) Labels(service string, i seamrule.Instance) map[string]string {
	v, _ := s.Version(service)
	return v.Document.LabelsOf(i)
}

// RequireRevision raises the minimum revision at which the set is ready.
func (s *Set) RequireRevision(revision int64) {
	for {
		old := s.required.Load()
		if revision <= old || s.required.CompareAndSwap(old, revision) {
			return
		}
	}
}

// Ready reports whether a bundle has been applied and has at least the required revision.
func (s *Set) Ready() bool {
	c := s.current.Load()
	return c != nil && c.bundle.Revision >= s.required.Load()
}

// Subscribe calls f with the active bundle, if there is one, and with each later one, in order and
// before Apply returns. The returned function cancels the subscription.
// f must neither block nor modify the set.
func (s *Set) Subscribe(now time.Time, f func(now time.Time, b Bundle)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
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

// Apply activates a complete bundle if its revision is higher than the active one, and reports whether
// it did. No document reverts to a lower revision.
// If a document does not compile, Apply returns its error and changes nothing.
func (s *Set) Apply(now time.Time, b Bundle) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(now, b.Versions)
}

// ApplyVersions activates newer versions of individual documents, like Apply.
// They must include every version in the store between the set's revision and their highest revision.
func (s *Set) ApplyVersions(now time.Time, versions []seamrule.Version) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(now, versions)
}

func (s *Set) apply(now time.Time, versions []seamrule.Version) (bool, error) {
	old := s.current.Load()
	if old == nil {
		old = &snapshot{}
	}
	merged := old.bundle.merge(versions)
	if s.current.Load() != nil && merged.Revision <= old.bundle.Revision {
		s.ignored.Inc()
		return false, nil
	}
	next, err := compile(merged, old)
	if err != nil {
		s.reportFailure(now, err)
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

// reportFailure counts and logs versions that can't be activated.
func (s *Set) reportFailure(now time.Time, err error) {
	s.failed.Inc()
	s.sink.Emit(now, seamevent.RuleFailed, seamevent.Fields{"error": err.Error()})
}

// compile compiles the documents of the bundle and reuses the unchanged programs of old.
func compile(b Bundle, old *snapshot) (*snapshot, error) {
	next := &snapshot{bundle: b, programs: make(map[string]*seamrule.Program, len(b.Versions))}
	for _, v := range b.Versions {
		if v.Deleted {
			continue
		}
		before, found := old.bundle.Find(v.Service)
		if found && before.Revision == v.Revision {
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
