// Package seamdedup remembers which non-idempotent requests have run at a
// node, so that none runs twice and an attempt can be voided.
package seamdedup

import (
	"sync"
	"time"

	"cardamomseam/internal/own/seamclock"
)

// ID identifies a request.
type ID [16]byte

// State is what a ledger says about an attempt.
type State string

// States of an attempt.
const (
	// Voided means that the attempt has not run and never will.
	Voided State = "voided"
	// Ran means that bytes of the attempt, or of a duplicate, may have reached the target.
	Ran State = "ran"
	// Unknown means that the ledger no longer remembers.
	Unknown State = "unknown"
)

// Verdict is the answer to Begin.
type Verdict int

// Verdicts of Begin.
const (
	// Admitted means that the attempt may go on to Start.
	Admitted Verdict = iota
	// Duplicate means that another attempt of the request waits, runs or ran.
	Duplicate
	// Denied means that the attempt was voided before it arrived.
	AlreadyVoided
	// Full means that the ledger cannot remember another request.
	Full
)

const (
	// DefaultLimit is the default number of requests that a ledger remembers.
	DefaultLimit = 1 << 17
	// Slack is the time after the deadline during which a request is remembered.
	Retention = 5 * time.Second
	// bucketTime is the time covered by one bucket of records that are forgotten together.
	bucketTime = time.Second
	// noteFactor is the number of notes for each record.
	noteFactor = 4
)

// Ledger is the memory of one node. It is safe for concurrent use.
type Table struct {
	limit int

	mu    sync.Mutex
	runs  map[ID]run
	voids map[uint64]struct{}
	// due holds what to forget, by the second in which it may be forgotten.
	due   map[int64]*bucket
	notes int
	swept int64
}

type run struct {
	attempt uint64
	// deadline is the end of the attempt's right to start.
	deadline seamclock.Instant
	// second is the bucket that forgets the run.
	second  int64
	started bool
}

type bucket struct {
	runs  []ID
	voids []uint64
}

// New returns an empty ledger of at most limit records; 0 means DefaultLimit.
func New(limit int) *Table {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Table{
		limit: limit,
		runs:  map[ID]run{},
		voids: map[uint64]struct{}{},
		due:   map[int64]*bucket{},
	}
}

// Begin records that an attempt waits to be started. left is the time until its
// deadline. Each attempt begins at most once.
func (l *Table) Register(now seamclock.Instant, id ID, attempt uint64, left time.Duration) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if _, ok := l.voids[attempt]; ok {
		return AlreadyVoided
	}
	if _, ok := l.runs[id]; ok {
		return Duplicate
	}
	if l.full() {
		return Full
	}
	second := dueSecond(now, left)
	l.runs[id] = run{attempt: attempt, deadline: now.Add(left), second: second}
	b := l.bucket(second)
	b.runs = append(b.runs, id)
	return Admitted
}

// Start reports whether the attempt may run now. Once it returned true the
// attempt counts as run, and Start returns false for it. After its deadline no
// attempt starts, since its record would not outlast a duplicate.
func (l *Table) Start(now seamclock.Instant, id ID, attempt uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	if !ok || r.attempt != attempt || r.started || seamclock.Expired(now, r.deadline) {
		return false
	}
	r.started = true
	l.runs[id] = r
	return true
}

// Withdraw forgets an attempt that was not started, so that another may begin.
// It reports whether the attempt has not run and never will.
func (l *Table) Withdraw(id ID, attempt uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	if !ok || r.attempt != attempt {
		return true
	}
	if r.started {
		return false
	}
	delete(l.runs, id)
	return true
}

// Reject forgets an attempt that was started and that the target says it did not run.
func (l *Table) Reject(id ID, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.runs[id]; ok && r.attempt == attempt {
		delete(l.runs, id)
	}
}

// Revert takes back the start of an attempt of which no byte was sent.
func (l *Table) UndoStart(id ID, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.runs[id]; ok && r.attempt == attempt {
		r.started = false
		l.runs[id] = r
	}
}

// Void makes sure that an attempt that has not run never will, and says what
// is known. left is the time until the deadline of the request, as known to
// the node that asks; it must not ask later than Slack after the deadline.
func (l *Table) Void(now seamclock.Instant, id ID, attempt uint64, left time.Duration) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if r, ok := l.runs[id]; ok {
		if r.started || r.attempt != attempt {
			// Also another attempt, of a duplicate, may have run the request.
			return Ran
		}
		// An attempt arrives once, so that no record has to keep it from running.
		delete(l.runs, id)
		return Voided
	}
	if left < -Retention || l.full() {
		return Unknown
	}
	l.voids[attempt] = struct{}{}
	b := l.bucket(dueSecond(now, max(left, 0)))
	b.voids = append(b.voids, attempt)
	return Voided
}

// Len returns the number of records.
func (l *Table) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size()
}

func (l *Table) size() int {
	return len(l.runs) + len(l.voids)
}

// full bounds the records, and the notes of what to forget, which outlive
// records that were withdrawn.
func (l *Table) full() bool {
	return l.size() >= l.limit || l.notes >= noteFactor*l.limit
}

// dueSecond returns the second in which a record may be forgotten. Time is
// monotonic: a machine that was suspended remembers longer, never shorter.
func dueSecond(now seamclock.Instant, left time.Duration) int64 {
	return int64((now.Mono+left+Retention)/bucketTime) + 1
}

func (l *Table) bucket(second int64) *bucket {
	b := l.due[second]
	if b == nil {
		b = new(bucket)
		l.due[second] = b
	}
	l.notes++
	return b
}

func (l *Table) sweep(now seamclock.Instant) {
	present := int64(now.Mono / bucketTime)
	if present == l.swept {
		return
	}
	l.swept = present
	for second, b := range l.due {
		if second > present {
			continue
		}
		l.forget(second, b)
		delete(l.due, second)
	}
}

func (l *Table) forget(second int64, b *bucket) {
	l.notes -= len(b.runs) + len(b.voids)
	for _, id := range b.runs {
		// A request that was withdrawn and begun again may be due later.
		if l.runs[id].second <= second {
			delete(l.runs, id)
		}
	}
	for _, attempt := range b.voids {
		delete(l.voids, attempt)
	}
}
