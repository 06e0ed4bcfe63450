package seamrulestore

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamdiff"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// retryBackoffInitial is the mean delay before the first retry of a write of unknown outcome.
	retryBackoffInitial = 20 * time.Millisecond
	// retryBackoffMax is the upper bound of the exponential backoff.
	retryBackoffMax = 500 * time.Millisecond
	// retryAfter is the Retry-After delay for clients while the store is unreachable.
	retryAfter = 5 * time.Second
	// maxLabelAttempts is the maximum number of attempts of a label change that conflicts with other
	// changes.
	maxLabelAttempts = 8
	// AnyRevision as the expected revision makes a change replace whatever is recorded.
	AnyRevision = -1
)

// ActiveRules provides the active rules of this node.
type ActiveRules interface {
	// Revision returns the revision of the active rules, or 0 if there are none.
	Revision() int64
	// Version returns the active version of the service's rules, and whether there is one.
	Version(service string) (seamrule.Version, bool)
}

// Store reads and changes the rules in the key-value store, with optimistic concurrency control.
// It is safe for concurrent use.
type Store struct {
	store       seamstore.Store
	active      ActiveRules
	sink        seamevent.Sink
	recorded    *metrics.Counter
	conflicts   *metrics.Counter
	unavailable *metrics.Counter
}

// New returns a Store on top of the key-value store.
func New(store seamstore.Store, active ActiveRules, sink seamevent.Sink, m *metrics.Set) *Store {
	return &Store{
		store:       store,
		active:      active,
		sink:        sink,
		recorded:    m.NewCounter(`cardamomseam_rules_recorded_total`),
		conflicts:   m.NewCounter(`cardamomseam_rules_conflicts_total`),
		unavailable: m.NewCounter(`cardamomseam_rules_unavailable_total`),
	}
}

// ChangeInfo holds the author, time and idempotency key of a change and the revision that it expects.
type ChangeInfo struct {
	Time   time.Time
	Author string
	// Writer is the idempotency key of the change; if empty, a random one is generated.
	Writer string
	// Expect is the revision that the change must replace; 0 means that the service must have no
	// document, and AnyRevision that any revision may be replaced.
	Expect int64
}

// ChangeResult describes a recorded change.
type ChangeResult struct {
	Service string `json:"service"`
	// Revision is the revision of the change, and Before is the revision that it replaced.
	Revision int64  `json:"revision"`
	Before   int64  `json:"before"`
	Writer   string `json:"writer"`
}

// Put records the document as the service's latest version.
// Errors are seamrule.FieldErrors, *ConflictError, *StaleError, *UnavailableError and *UnknownError.
func (s *Store) Put(ctx context.Context, info ChangeInfo, d seamrule.Document) (ChangeResult, error) {
	if err := seamrule.Validate(d); err != nil {
		return ChangeResult{}, err
	}
	return s.change(ctx, info, d.Service, ActionSet, func(Record) (seamrule.Document, error) {
		return d, nil
	})
}

// Delete records that the service has no document. The service's immutable fields stay recorded, and a
// later document must have the same ones.
// Errors are those of Put and *NotFoundError.
func (s *Store) Delete(ctx context.Context, info ChangeInfo, service string) (ChangeResult, error) {
	return s.change(ctx, info, service, ActionDelete, func(r Record) (seamrule.Document, error) {
		return currentDocument(service, r)
	})
}

// SetLabels replaces the operator-defined labels of one instance; empty labels remove them. If info.Expect
// is AnyRevision, the change is retried after a conflict, because it does not depend on the labels of
// other instances.
// Errors are those of Put and *NotFoundError.
func (s *Store) SetLabels(ctx context.Context, info ChangeInfo, service, instance string, labels map[string]string) (ChangeResult, error) {
	if info.Writer == "" {
		info.Writer = uuid.NewString()
	}
	for attempt := 1; ; attempt++ {
		result, err := s.change(ctx, info, service, ActionLabel, func(r Record) (seamrule.Document, error) {
			d, err := currentDocument(service, r)
			if err != nil {
				return d, err
			}
			d = d.WithLabels(instance, labels)
			return d, seamrule.Validate(d)
		})
		var conflict *ConflictError
		if info.Expect != AnyRevision || attempt == maxLabelAttempts || !errors.As(err, &conflict) {
			return result, err
		}
	}
}

func currentDocument(service string, r Record) (seamrule.Document, error) {
	if r.Deleted || len(r.Changes) == 0 {
		return seamrule.Document{}, &NotFoundError{Service: service}
	}
	return r.Document, nil
}

// change records the document that next derives from the current record. If the record already has a
// change with the same writer, change returns the result of that one.
func (s *Store) change(ctx context.Context, info ChangeInfo, service, action string, next func(Record) (seamrule.Document, error)) (ChangeResult, error) {
	if info.Writer == "" {
		info.Writer = uuid.NewString()
	}
	entry, err := s.read(ctx, service, info.Expect)
	if err != nil {
		return ChangeResult{}, err
	}
	old, err := decode(entry)
	if err != nil {
		return ChangeResult{}, err
	}
	if result, ok := findByWriter(service, old, info.Writer); ok {
		return result, nil
	}
	d, err := next(old)
	if err != nil {
		return ChangeResult{}, err
	}
	if info.Expect != AnyRevision && info.Expect != visibleRevision(old, entry.Revision) && !s.replacesLostVersion(service, entry, info.Expect) {
		return ChangeResult{}, s.newConflict(service, info.Expect, entry, old, d)
	}
	if len(old.Changes) > 0 {
		if err := seamrule.ValidateChange(old.Document, d); err != nil {
			return ChangeResult{}, err
		}
	}
	change := Change{Time: info.Time, Author: info.Author, Writer: info.Writer, Action: action}
	return s.write(ctx, service, entry, old.withChange(d, change))
}

// visibleRevision returns the revision that operators see and expect: 0 if the service was deleted.
func visibleRevision(r Record, revision int64) int64 {
	if r.Deleted {
		return 0
	}
	return revision
}

// read returns the entry of the service. It fails if the store is at a lower revision than the active
// rules of this node. It also fails if only the service's entry is older than the active version, unless
// the change expects the active version and thereby replaces it.
func (s *Store) read(ctx context.Context, service string, expect int64) (seamstore.Entry, error) {
	key := KeyPrefix + service
	entries, revision, err := s.list(ctx, key)
	if err != nil {
		s.unavailable.Inc()
		return seamstore.Entry{}, newUnavailable(service, err)
	}
	entry := seamstore.Entry{Key: key}
	for _, e := range entries {
		if e.Key == key {
			entry = e
		}
	}
	if activeRevision := s.active.Revision(); revision < activeRevision {
		s.unavailable.Inc()
		return entry, &StaleError{Service: service, Found: revision, Active: activeRevision}
	}
	v, ok := s.active.Version(service)
	if ok && entry.Revision < v.Revision && expect != v.Revision {
		s.unavailable.Inc()
		return entry, &StaleError{Service: service, Found: entry.Revision, Active: v.Revision}
	}
	return entry, nil
}

// list lists the entries whose keys start with key. It waits while the store's call budget is exhausted.
func (s *Store) list(ctx context.Context, key string) ([]seamstore.Entry, int64, error) {
	for {
		entries, revision, err := s.store.List(ctx, seamstore.Configuration, key)
		if !awaitBudget(ctx, err) {
			return entries, revision, err
		}
	}
}

// awaitBudget waits for the store's call budget if err reports that it is exhausted. It returns true if
// the call should be retried, and false for any other error or if ctx ends.
func awaitBudget(ctx context.Context, err error) bool {
	var budget *seamstore.BudgetError
	return errors.As(err, &budget) && seamwait.Jittered(ctx, max(budget.RetryAfter, retryBackoffInitial))
}

// replacesLostVersion reports whether the store has lost the active version of the service and a change
// that expects revision expect replaces that version.
func (s *Store) replacesLostVersion(service string, entry seamstore.Entry, expect int64) bool {
	v, ok := s.active.Version(service)
	return ok && entry.Revision < v.Revision && expect == v.Revision
}

func newUnavailable(service string, err error) error {
	delay := retryAfter
	var budget *seamstore.BudgetError
	if errors.As(err, &budget) {
		delay = budget.RetryAfter
	}
	return &UnavailableError{Service: service, RetryAfter: delay, Cause: err}
}

// findByWriter returns the result of an earlier change with the same writer, and whether there is one.
func findByWriter(service string, r Record, writer string) (ChangeResult, bool) {
	for i, c := range r.Changes {
		if c.Writer != writer {
			continue
		}
		result := ChangeResult{Service: service, Revision: c.Revision, Writer: writer}
		if i > 0 {
			result.Before = r.Changes[i-1].Revision
		}
		return result, true
	}
	return ChangeResult{}, false
}

// write replaces the record by compare-and-swap. A swap of unknown outcome is retried with the same
// value and expected revision, so that at most one takes effect. If a retry conflicts, the writer of the
// conflicting record tells whether an earlier attempt succeeded.
func (s *Store) write(ctx context.Context, service string, before seamstore.Entry, r Record) (ChangeResult, error) {
	value, err := r.encode()
	if err != nil {
		return ChangeResult{}, err
	}
	change := r.Changes[len(r.Changes)-1]
	outcomeUnknown := false
	for backoff := retryBackoffInitial; ; backoff = min(2*backoff, retryBackoffMax) {
		revision, err := s.store.Swap(ctx, seamstore.Configuration, before.Key, before.Revision, value)
		if err == nil {
			result := ChangeResult{Service: service, Revision: revision, Before: before.Revision, Writer: change.Writer}
			return s.reportRecorded(change, result), nil
		}
		var conflict *seamstore.ConflictError
		if errors.As(err, &conflict) {
			return s.resolveConflict(service, before.Revision, conflict.Found, r, change)
		}
		var unknown *seamstore.UnknownError
		outcomeUnknown = outcomeUnknown || errors.As(err, &unknown)
		if !outcomeUnknown && awaitBudget(ctx, err) {
			continue
		}
		if !outcomeUnknown {
			s.unavailable.Inc()
			return ChangeResult{}, newUnavailable(service, err)
		}
		if !seamwait.Jittered(ctx, backoff) {
			s.unavailable.Inc()
			return ChangeResult{}, &UnknownError{Service: service, Writer: change.Writer, Cause: err}
		}
	}
}

// resolveConflict handles a failed compare-and-swap. If the found record contains the change, an earlier
// attempt succeeded and its response was lost; otherwise another change caused a conflict.
func (s *Store) resolveConflict(service string, expect int64, found seamstore.Entry, proposed Record, change Change) (ChangeResult, error) {
	found.Key = KeyPrefix + service
	recorded, err := decode(found)
	if err != nil {
		return ChangeResult{}, err
	}
	if result, ok := findByWriter(service, recorded, change.Writer); ok {
		return s.reportRecorded(change, result), nil
	}
	return ChangeResult{}, s.newConflict(service, expect, found, recorded, proposed.Document)
}

func (s *Store) reportRecorded(change Change, result ChangeResult) ChangeResult {
	s.recorded.Inc()
	s.sink.Emit(change.Time, seamevent.RuleRecorded, seamevent.Fields{
		"service": result.Service, "revision": result.Revision, "before": result.Before, "author": change.Author, "action": change.Action,
	})
	return result
}

func (s *Store) newConflict(service string, expect int64, entry seamstore.Entry, recorded Record, proposed seamrule.Document) error {
	s.conflicts.Inc()
	e := &ConflictError{
		Service: service,
		Expect:  expect,
		Found:   visibleRevision(recorded, entry.Revision),
		Theirs:  recorded.yaml(),
		Yours:   string(seamrule.Format(proposed)),
	}
	if n := len(recorded.Changes); n > 0 {
		e.Author = recorded.Changes[n-1].Author
	}
	e.Diff = seamdiff.Unified("recorded", e.Theirs, "yours", e.Yours)
	return e
}
