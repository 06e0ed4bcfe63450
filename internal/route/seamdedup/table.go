// Package seamdedup implements the dedup table of a node. It records
// which non-idempotent requests have run, so that none runs twice, and allows
// an attempt to be voided: a voided attempt has not run and never will.
package seamdedup

import (
	"sync"
	"time"

	"cardamomseam/internal/own/seamclock"
)

// ID identifies a request.
type ID [16]byte

// State is the result of voiding an attempt.
type State string

// States of an attempt.
const (
	// Voided means that the attempt has not run and never will.
	Voided State = "voided"
	// Withdrawn means the same for an idempotent attempt. Nodes of earlier versions answer Voided about attempts of which
	// they have no record.
	Withdrawn State = "withdrawn"
	// Ran means that the attempt was started, or that another attempt of the request is registered and may run.
	Ran State = "ran"
	// Unknown means that the table no longer has, or cannot store, a record of the attempt.
	Unknown State = "unknown"
)

// Verdict is the result of Register.
type Verdict int

// Verdicts of Register.
const (
	// Admitted means that the attempt is registered and may call Start.
	Admitted Verdict = iota
	// Duplicate means that another attempt of the request is waiting, is running or has run.
	Duplicate
	// AlreadyVoided means that the attempt was voided before it arrived.
	AlreadyVoided
	// Full means that the table cannot store another record.
	Full
)

const (
	// DefaultLimit is the default maximum number of records in a table.
	DefaultLimit = 1 << 17
	// Retention is the time for which a record is kept after the deadline of its request.
	Retention = 5 * time.Second
	// bucketDuration is the time covered by one bucket of records that expire together.
	bucketDuration = time.Second
	// expiryEntriesPerRecord is the ratio of the limit of expiry entries to the limit of records.
	expiryEntriesPerRecord = 4
)

// Table is the dedup table of one node. It is safe for concurrent use.
type Table struct {
	limit int

	mu      sync.Mutex
	records map[ID]record
	// voids holds the attempts that were voided before they arrived.
	voids map[uint64]struct{}
	// expiry holds the buckets of records to remove, by the second in which they expire.
	expiry        map[int64]*bucket
	expiryEntries int
	lastSweep     int64
}

type record struct {
	attempt uint64
	// deadline is the time from which the attempt may no longer start.
	deadline seamclock.Instant
	// expirySecond is the key of the bucket with which the record expires.
	expirySecond int64
	started      bool
}

type bucket struct {
	records []ID
	voids   []uint64
}

// New returns an empty Table of at most limit records; 0 means DefaultLimit.
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

// Register records an attempt that waits to be started. left is the time until its
// deadline. Each attempt is registered at most once.
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

// Start reports whether the attempt may run now. After it has returned true, the
// attempt counts as run and Start returns false for it. No attempt starts after
// its deadline, because its record could expire before a duplicate arrives.
func (t *Table) Start(now seamclock.Instant, id ID, attempt uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.attempt != attempt || r.started || seamclock.Expired(now, r.deadline) {
		return false
	}
	r.started = true
	t.records[id] = r
	return true
}

// Withdraw removes an attempt that was not started, so that another may register.
// It returns false if the attempt was started; otherwise, the attempt has not run and never will.
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

// Reject removes a started attempt that the target reported as not executed.
func (t *Table) Reject(id ID, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[id]; ok && r.attempt == attempt {
		delete(t.records, id)
	}
}

// UndoStart reverts Start for an attempt of which no byte was sent.
func (t *Table) UndoStart(id ID, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[id]; ok && r.attempt == attempt {
		r.started = false
		t.records[id] = r
	}
}

// Void guarantees, if it returns Voided, that an attempt has not run and never
// will. left is the time until the deadline of the request, as known to the node
// that voids it. If the deadline passed more than Retention ago and no record is
// left, Void returns Unknown, because the record may have expired.
func (t *Table) Void(now seamclock.Instant, id ID, attempt uint64, left time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if r, ok := t.records[id]; ok {
		if r.started || r.attempt != attempt {
			// A record of another attempt belongs to a duplicate of the request, which may run.
			return Ran
		}
		// Without a record Start fails, and the attempt is registered only once, so it cannot run any more.
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

// full reports whether the limit of records or of expiry entries is reached.
// Expiry entries outlive records that were withdrawn.
func (t *Table) full() bool {
	return t.size() >= t.limit || t.expiryEntries >= expiryEntriesPerRecord*t.limit
}

// expirySecond returns the second in which a record expires. It uses monotonic
// time, so a suspended machine keeps records longer, never shorter.
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
		// A request that was withdrawn and registered again may expire later.
		if t.records[id].expirySecond <= second {
			delete(t.records, id)
		}
	}
	for _, attempt := range b.voids {
		delete(t.voids, attempt)
	}
}
