// Package seampoison finds requests that crash the targets that run them (poison requests), and keeps them from further targets.
//
// A node reports which requests its target was running when it crashed. A request that was running at the crashes of minCrashes
// incarnations, and that no target has answered since, is quarantined by all nodes that know of these crashes. The first of them
// writes a record to the store, which outlasts the nodes. A quarantined request is refused, but for single trials, which find out
// whether it still crashes a target; a trial that is answered ends the quarantine.
package seampoison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minCrashes is the number of incarnations whose crashes quarantine a request.
	minCrashes = 3
	// suspectCrashes is the number of incarnations from whose crashes on a request is not repeated after a further one.
	suspectCrashes = 2
	// factLifetime is the time for which a crash, or an answer that clears one, counts without a record.
	factLifetime = 2 * time.Minute
	// maxOwnKeys is the number of requests about which a node reports at most. The oldest are dropped.
	maxOwnKeys = 64
	// maxRecords is the number of records up to which a node writes further ones.
	maxRecords = 1024
)

// peerReport is the report of another node with its encoded form.
type peerReport struct {
	encoded string
	Report
}

// quarantine is a record with what this node adds to it.
type quarantine struct {
	Record
	// since is the time at which this node heard of the latest change of the record.
	since time.Time
	// ended is set when the request was answered. The record is to be deleted.
	ended bool
}

// Table holds what a node knows of poison requests, from itself, from other nodes and from the store. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	own     map[Key]*facts
	answers answers
	peers   map[string]peerReport
	// ignored are the crashes that ceased to count because a record was deleted, which each node sees for itself.
	ignored map[Key]*facts
	records map[Key]*quarantine
	// evidence is the sum of own and peers.
	evidence map[Key]*evidence
	// heads counts the keys of evidence and records by the digest of the head.
	heads map[uint64]int
	// size is the number of entries of heads.
	size    atomic.Int64
	changed chan struct{}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		own:     map[Key]*facts{},
		peers:   map[string]peerReport{},
		ignored: map[Key]*facts{},
		records: map[Key]*quarantine{},
		changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives a value after changes that call for a report or for a change of the records.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// MayConcern reports whether the table may hold something about requests with the digest of a head. A node need not compute more of
// a fingerprint otherwise.
func (t *Table) MayConcern(head uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head] > 0
}

// Empty reports whether the table holds nothing. It is cheap.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// AddCrash adds a crash that this node has seen. It counts for the requests that the target has not answered lately.
func (t *Table) AddCrash(now time.Time, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range c.Requests {
		k := Key{c.Service, r.Fingerprint}
		if t.answers.has(now, k) {
			continue
		}
		f := t.ownFacts(k)
		f.Description = r.Description
		f.crashes[c.Incarnation] = now
	}
	t.rebuild()
	t.signal()
}

// AddAnswer adds that a target has run and answered a request. It reports whether that ends a suspicion or a quarantine.
func (t *Table) AddAnswer(now time.Time, k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.add(now, k)
	q := t.records[k]
	e := t.evidence[k]
	if (q == nil || q.ended) && (e == nil || e.counting() == 0) {
		return false
	}
	if q != nil {
		q.ended = true
	}
	t.clear(now, k)
	t.signal()
	return true
}

// clear makes the crashes of a request that are known so far no longer count, for all nodes. The caller holds mu.
func (t *Table) clear(now time.Time, k Key) {
	if e := t.evidence[k]; e != nil {
		own := t.ownFacts(k)
		for incarnation := range e.crashes {
			own.cleared[incarnation] = now
		}
	}
	t.rebuild()
}

// ignore makes the crashes of a request that are known so far no longer count, for this node. The caller holds mu.
func (t *Table) ignore(now time.Time, k Key) {
	e := t.evidence[k]
	if e == nil {
		return
	}
	ignored := &facts{cleared: map[Incarnation]time.Time{}}
	for incarnation := range e.crashes {
		ignored.cleared[incarnation] = now
	}
	t.ignored[k] = ignored
	delete(t.own, k)
	t.rebuild()
}

// ownFacts returns this node's facts of a request. If there are maxOwnKeys others, it drops those with the oldest news. The caller
// holds mu.
func (t *Table) ownFacts(k Key) *facts {
	if f := t.own[k]; f != nil {
		return f
	}
	if len(t.own) >= maxOwnKeys {
		t.dropOldest()
	}
	f := &facts{crashes: map[Incarnation]time.Time{}, cleared: map[Incarnation]time.Time{}}
	t.own[k] = f
	return f
}

func (t *Table) dropOldest() {
	var oldest Key
	var oldestAt time.Time
	for k, f := range t.own {
		if at := f.latest(); oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = k, at
		}
	}
	delete(t.own, oldest)
}

// Hear replaces what another node has reported by an encoded report.
func (t *Table) Hear(node, encoded string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[node].encoded == encoded {
		return nil
	}
	r, err := DecodeReport([]byte(encoded))
	if err != nil {
		return err
	}
	t.peers[node] = peerReport{encoded, r}
	if encoded == "" {
		delete(t.peers, node)
	}
	t.rebuild()
	t.signal()
	return nil
}

// Retain forgets the reports of the nodes for which known returns false.
func (t *Table) Retain(known func(node string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.peers)
	for node := range t.peers {
		if !known(node) {
			delete(t.peers, node)
		}
	}
	if len(t.peers) != before {
		t.rebuild()
	}
}

// Expire drops this node's facts that are older than factLifetime.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := func(_ Key, f *facts) bool { return now.Sub(f.latest()) > factLifetime }
	before := len(t.own)
	maps.DeleteFunc(t.own, expired)
	maps.DeleteFunc(t.ignored, expired)
	if len(t.own) != before {
		t.rebuild()
		t.signal()
	}
}

// rebuild sums up the evidence. The caller holds mu.
func (t *Table) rebuild() {
	t.evidence, t.heads = map[Key]*evidence{}, map[uint64]int{}
	for k, f := range t.own {
		t.evidenceOf(k).add(maps.Keys(f.crashes), maps.Keys(f.cleared))
	}
	for _, r := range t.peers {
		for _, s := range r.Report {
			t.evidenceOf(s.Key).add(slices.Values(s.Crashes), slices.Values(s.Cleared))
		}
	}
	for k, f := range t.ignored {
		if e := t.evidence[k]; e != nil {
			e.add(maps.Keys(f.crashes), maps.Keys(f.cleared))
		}
	}
	for k := range t.evidence {
		t.heads[k.Head]++
	}
	for k := range t.records {
		t.heads[k.Head]++
	}
	t.size.Store(int64(len(t.heads)))
}

// evidenceOf returns the evidence of a request, and adds it if there is none. The caller holds mu.
func (t *Table) evidenceOf(k Key) *evidence {
	e := t.evidence[k]
	if e == nil {
		e = &evidence{crashes: map[Incarnation]bool{}, cleared: map[Incarnation]bool{}}
		t.evidence[k] = e
	}
	return e
}

// Suspected returns the number of requests with crashes that count.
func (t *Table) Suspected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.evidence {
		if e.counting() > 0 {
			n++
		}
	}
	return n
}

// signal makes Changed deliver a value. The caller holds mu.
func (t *Table) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Report returns what this node has to report.
func (t *Table) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return newReport(t.own)
}
