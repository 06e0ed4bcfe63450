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
	// firstWait is the mean wait before the first repetition of a write of unknown outcome.
	firstWait = 20 * time.Millisecond
	// longestWait bounds the doubling of the wait.
	longestWait = 500 * time.Millisecond
	// retryAfter is advised to operators when the store cannot be reached.
	retryAfter = 5 * time.Second
	// labelAttempts is the number of times that a change of labels is made anew after a conflict.
	labelAttempts = 8
	// AnyRevision expects no particular revision.
	AnyRevision = -1
)

// Force tells what is in force at this node.
type ActiveRules interface {
	// Revision returns the revision of the whole set, 0 if there is none.
	Revision() int64
	// Version returns the version of the service in force, and whether there is one.
	Version(service string) (seamrule.Version, bool)
}

// Book records documents. Its methods may be called at the same time.
type Store struct {
	store     seamstore.Store
	force     ActiveRules
	sink      seamevent.Sink
	recorded  *metrics.Counter
	conflicts *metrics.Counter
	refused   *metrics.Counter
}

// New returns a book that records in the store.
func New(store seamstore.Store, force ActiveRules, sink seamevent.Sink, m *metrics.Set) *Store {
	return &Store{
		store:     store,
		force:     force,
		sink:      sink,
		recorded:  m.NewCounter(`cardamomseam_rules_recorded_total`),
		conflicts: m.NewCounter(`cardamomseam_rules_conflicts_total`),
		refused:   m.NewCounter(`cardamomseam_rules_unavailable_total`),
	}
}

// Stamp says who changes a document, and when.
type ChangeInfo struct {
	Time   time.Time
	Author string
	// Writer identifies the write; empty for a new random one.
	Writer string
	// Expect is the revision that the change replaces: 0 if there must be no document, or AnyRevision.
	Expect int64
}

// Recorded is the outcome of a change.
type ChangeResult struct {
	Service string `json:"service"`
	// Revision is the revision of the change, Before the one it replaced.
	Revision int64  `json:"revision"`
	Before   int64  `json:"before"`
	Writer   string `json:"writer"`
}

// Put records the document.
// Errors are seamrule.FieldErrors, *ConflictError, *StaleError, *UnavailableError and *UnknownError.
func (b *Store) Put(ctx context.Context, s ChangeInfo, d seamrule.Document) (ChangeResult, error) {
	if err := seamrule.Validate(d); err != nil {
		return ChangeResult{}, err
	}
	return b.change(ctx, s, d.Service, ActionSet, func(Record) (seamrule.Document, error) {
		return d, nil
	})
}

// Delete records that the service has no document. What cannot change stays with the name.
// Errors are those of Put and *NotFoundError.
func (b *Store) Delete(ctx context.Context, s ChangeInfo, service string) (ChangeResult, error) {
	return b.change(ctx, s, service, ActionDelete, func(r Record) (seamrule.Document, error) {
		return present(service, r)
	})
}

// Label replaces the operators' labels of one instance; none removes them. If s.Expect is
// AnyRevision, the change is made anew after a conflict, as changes of other instances do not matter.
// Errors are those of Put and *NotFoundError.
func (b *Store) SetLabels(ctx context.Context, s ChangeInfo, service, instance string, labels map[string]string) (ChangeResult, error) {
	if s.Writer == "" {
		s.Writer = uuid.NewString()
	}
	for attempt := 1; ; attempt++ {
		recorded, err := b.change(ctx, s, service, ActionLabel, func(r Record) (seamrule.Document, error) {
			d, err := present(service, r)
			if err != nil {
				return d, err
			}
			d = d.WithLabels(instance, labels)
			return d, seamrule.Validate(d)
		})
		var conflict *ConflictError
		if s.Expect != AnyRevision || attempt == labelAttempts || !errors.As(err, &conflict) {
			return recorded, err
		}
	}
}

func present(service string, r Record) (seamrule.Document, error) {
	if r.Deleted || len(r.Changes) == 0 {
		return seamrule.Document{}, &NotFoundError{Service: service}
	}
	return r.Document, nil
}

// change records what next makes of the present record.
func (b *Store) change(ctx context.Context, s ChangeInfo, service, action string, next func(Record) (seamrule.Document, error)) (ChangeResult, error) {
	if s.Writer == "" {
		s.Writer = uuid.NewString()
	}
	entry, err := b.read(ctx, service, s.Expect)
	if err != nil {
		return ChangeResult{}, err
	}
	old, err := decode(entry)
	if err != nil {
		return ChangeResult{}, err
	}
	if done, ok := repeated(service, old, s.Writer); ok {
		return done, nil
	}
	d, err := next(old)
	if err != nil {
		return ChangeResult{}, err
	}
	if s.Expect != AnyRevision && s.Expect != visible(old, entry.Revision) && !b.replaces(service, entry, s.Expect) {
		return ChangeResult{}, b.conflict(service, s.Expect, entry, old, d)
	}
	if len(old.Changes) > 0 {
		if err := seamrule.ValidateChange(old.Document, d); err != nil {
			return ChangeResult{}, err
		}
	}
	made := Change{Time: s.Time, Author: s.Author, Writer: s.Writer, Action: action}
	return b.write(ctx, service, entry, old.with(d, made))
}

// visible returns the revision that operators see: 0 if the service was deleted.
func visible(r Record, revision int64) int64 {
	if r.Deleted {
		return 0
	}
	return revision
}

// read returns the entry of the service. It refuses a store that is behind what is in
// force here, unless the change expects, and so replaces, the version in force.
func (b *Store) read(ctx context.Context, service string, expect int64) (seamstore.Entry, error) {
	key := KeyPrefix + service
	entries, revision, err := b.list(ctx, key)
	if err != nil {
		b.refused.Inc()
		return seamstore.Entry{}, unavailable(service, err)
	}
	entry := seamstore.Entry{Key: key}
	for _, e := range entries {
		if e.Key == key {
			entry = e
		}
	}
	if force := b.force.Revision(); revision < force {
		b.refused.Inc()
		return entry, &StaleError{Service: service, Found: revision, Active: force}
	}
	v, ok := b.force.Version(service)
	if ok && entry.Revision < v.Revision && expect != v.Revision {
		b.refused.Inc()
		return entry, &StaleError{Service: service, Found: entry.Revision, Active: v.Revision}
	}
	return entry, nil
}

// list reads the entries from the store. It waits while the call budget is used up.
func (b *Store) list(ctx context.Context, key string) ([]seamstore.Entry, int64, error) {
	for {
		entries, revision, err := b.store.List(ctx, seamstore.Configuration, key)
		if !awaitBudget(ctx, err) {
			return entries, revision, err
		}
	}
}

// awaitBudget waits for the call budget if err says that it is used up, and reports
// whether the call may be made again.
func awaitBudget(ctx context.Context, err error) bool {
	var budget *seamstore.BudgetError
	return errors.As(err, &budget) && seamwait.Jittered(ctx, max(budget.RetryAfter, firstWait))
}

// replaces reports whether a change that expects the revision replaces the version in
// force, which the store has lost.
func (b *Store) replaces(service string, entry seamstore.Entry, expect int64) bool {
	v, ok := b.force.Version(service)
	return ok && entry.Revision < v.Revision && expect == v.Revision
}

func unavailable(service string, err error) error {
	after := retryAfter
	var budget *seamstore.BudgetError
	if errors.As(err, &budget) {
		after = budget.RetryAfter
	}
	return &UnavailableError{Service: service, RetryAfter: after, Cause: err}
}

// repeated returns the outcome of an earlier change by the same writer.
func repeated(service string, r Record, writer string) (ChangeResult, bool) {
	for i, c := range r.Changes {
		if c.Writer != writer {
			continue
		}
		done := ChangeResult{Service: service, Revision: c.Revision, Writer: writer}
		if i > 0 {
			done.Before = r.Changes[i-1].Revision
		}
		return done, true
	}
	return ChangeResult{}, false
}

// write swaps the record in. A swap of unknown outcome is repeated with the same value and
// the same expected revision, so at most one takes effect; a conflict is then cleared up
// by looking for the writer in the record that was found.
func (b *Store) write(ctx context.Context, service string, before seamstore.Entry, r Record) (ChangeResult, error) {
	value, err := r.encode()
	if err != nil {
		return ChangeResult{}, err
	}
	made := r.Changes[len(r.Changes)-1]
	unsure := false
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		revision, err := b.store.Swap(ctx, seamstore.Configuration, before.Key, before.Revision, value)
		if err == nil {
			done := ChangeResult{Service: service, Revision: revision, Before: before.Revision, Writer: made.Writer}
			return b.announce(made, done), nil
		}
		var conflict *seamstore.ConflictError
		if errors.As(err, &conflict) {
			return b.settle(service, before.Revision, conflict.Found, r, made)
		}
		var unknown *seamstore.UnknownError
		unsure = unsure || errors.As(err, &unknown)
		if !unsure && awaitBudget(ctx, err) {
			continue
		}
		if !unsure {
			b.refused.Inc()
			return ChangeResult{}, unavailable(service, err)
		}
		if !seamwait.Jittered(ctx, wait) {
			b.refused.Inc()
			return ChangeResult{}, &UnknownError{Service: service, Writer: made.Writer, Cause: err}
		}
	}
}

// settle tells a lost answer to a swap that succeeded from a lost race.
func (b *Store) settle(service string, expect int64, found seamstore.Entry, ours Record, made Change) (ChangeResult, error) {
	found.Key = KeyPrefix + service
	theirs, err := decode(found)
	if err != nil {
		return ChangeResult{}, err
	}
	if done, ok := repeated(service, theirs, made.Writer); ok {
		return b.announce(made, done), nil
	}
	return ChangeResult{}, b.conflict(service, expect, found, theirs, ours.Document)
}

func (b *Store) announce(made Change, done ChangeResult) ChangeResult {
	b.recorded.Inc()
	b.sink.Emit(made.Time, seamevent.RuleRecorded, seamevent.Fields{
		"service": done.Service, "revision": done.Revision, "before": done.Before, "author": made.Author, "action": made.Action,
	})
	return done
}

func (b *Store) conflict(service string, expect int64, entry seamstore.Entry, theirs Record, ours seamrule.Document) error {
	b.conflicts.Inc()
	e := &ConflictError{
		Service: service,
		Expect:  expect,
		Found:   visible(theirs, entry.Revision),
		Theirs:  theirs.text(),
		Yours:   string(seamrule.Format(ours)),
	}
	if n := len(theirs.Changes); n > 0 {
		e.Author = theirs.Changes[n-1].Author
	}
	e.Diff = seamdiff.Unified("recorded", e.Theirs, "yours", e.Yours)
	return e
}
