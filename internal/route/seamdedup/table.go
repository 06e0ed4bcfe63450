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
	bucketDuration = time.Second
	// noteFactor is the number of notes for each record.
	entriesPerRecord = 4
)

// Ledger is the memory of one node. It is safe for concurrent use.
type Table struct {
	limit int

	mu      sync.Mutex
	records map[ID]record
	voids   map[uint64]struct{}
	// due holds what to forget, by the second in which it may be forgotten.
	expiry        map[int64]*bucket
	expiryEntries int
	lastSweep     int64
}

type record struct {
	attempt uint64
	// deadline is the end of the attempt's right to start.
	deadline seamclock.Instant
	// second is the bucket that forgets the run.
	expirySecond int64
	started      bool
}

type bucket struct {
	records []ID
	voids   []uint64
}

// New returns an empty ledger of at most limit records; 0 means DefaultLimit.
func New(limit int) *Table {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Table{
		limit:   limit,
		records: map[ID]record{},
		voids:   map[uint64]struct{}{},
		expiry:  map[int64]*bucket{},
	}
}

// Begin records that an attempt waits to be started. left is the time until its
// deadline. Each attempt begins at most once.
func (t *Table) Register(now seamclock.Instant, id ID, attempt uint64, left time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if _, ok := t.voids[attempt]; ok {
		return AlreadyVoided
	}
	if _, ok := t.records[id]; ok {
		return Duplicate
	}
	if t.full() {
		return Full
	}
	second := expirySecond(now, left)
	t.records[id] = record{attempt: attempt, deadline: now.Add(left), expirySecond: second}
	b := t.bucket(second)
	b.records = append(b.records, id)
	return Admitted
}

// Start reports whether the attempt may run now. Once it returned true the
// attempt counts as run, and Start returns false for it. After its deadline no
// attempt starts, since its record would not outlast a duplicate.
func (t *Table) Start(now seamclock.Instant, id ID, attempt uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.attempt != attempt || r.started || seamclock.Past(now, r.deadline) {
		return false
	}
	r.started = true
	t.records[id] = r
	return true
}

// Withdraw forgets an attempt that was not started, so that another may begin.
// It reports whether the attempt has not run and never will.
func (t *Table) Withdraw(id ID, attempt uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.attempt != attempt {
		return true
	}
	if r.started {
		return false
	}
	delete(t.records, id)
	return true
}

// Reject forgets an attempt that was started and that the target says it did not run.
func (t *Table) Reject(id ID, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[id]; ok && r.attempt == attempt {
		delete(t.records, id)
	}
}

// Revert takes back the start of an attempt of which no byte was sent.
func (t *Table) UndoStart(id ID, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[id]; ok && r.attempt == attempt {
		r.started = false
		t.records[id] = r
	}
}

// Void makes sure that an attempt that has not run never will, and says what
// is known. left is the time until the deadline of the request, as known to
// the node that asks; it must not ask later than Slack after the deadline.
func (t *Table) Void(now seamclock.Instant, id ID, attempt uint64, left time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if r, ok := t.records[id]; ok {
		if r.started || r.attempt != attempt {
			// Also another attempt, of a duplicate, may have run the request.
			return Ran
		}
		// An attempt arrives once, so that no record has to keep it from running.
		delete(t.records, id)
		return Voided
	}
	if left < -Retention || t.full() {
		return Unknown
	}
	t.voids[attempt] = struct{}{}
	b := t.bucket(expirySecond(now, max(left, 0)))
	b.voids = append(b.voids, attempt)
	return Voided
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.size()
}

func (t *Table) size() int {
	return len(t.records) + len(t.voids)
}

// full bounds the records, and the notes of what to forget, which outlive
// records that were withdrawn.
func (t *Table) full() bool {
	return t.size() >= t.limit || t.expiryEntries >= entriesPerRecord*t.limit
}

// dueSecond returns the second in which a record may be forgotten. Time is
// monotonic: a machine that was suspended remembers longer, never shorter.
func expirySecond(now seamclock.Instant, left time.Duration) int64 {
	return int64((now.Mono+left+Retention)/bucketDuration) + 1
}

func (t *Table) bucket(second int64) *bucket {
	b := t.expiry[second]
	if b == nil {
		b = new(bucket)
		t.expiry[second] = b
	}
	t.expiryEntries++
	return b
}

func (t *Table) sweep(now seamclock.Instant) {
	current := int64(now.Mono / bucketDuration)
	if current == t.lastSweep {
		return
	}
	t.lastSweep = current
	for second, b := range t.expiry {
		if second > current {
			continue
		}
		t.expire(second, b)
		delete(t.expiry, second)
	}
}

func (t *Table) expire(second int64, b *bucket) {
	t.expiryEntries -= len(b.records) + len(b.voids)
	for _, id := range b.records {
		// A request that was withdrawn and begun again may be due later.
		if t.records[id].expirySecond <= second {
			delete(t.records, id)
		}
	}
	for _, attempt := range b.voids {
		delete(t.voids, attempt)
	}
}
