// Package seamassign decides which target holds which keys of a service. One
// node at a time is the assigner of a service; it writes the table of owners to
// the store and promises the keys to their holders for a short time, again and again.
package seamassign

import (
	"maps"
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// Config times an assigner.
type Config struct {
	// Promise is the time from the sending of a beat for which a holder may use its keys.
	Lease time.Duration
	// Margin is added to the end of a holder's right before its keys go elsewhere.
	Margin time.Duration
	// Drift is the part by which another machine's clock may run slow.
	MaxClockDrift float64
	// Alone is the time for which an assigner goes on without the store.
	MaxStoreOutage time.Duration
	// Away is the time without the store from which promises are Long, so that holders go on if the assigner
	// ends too: nobody can succeed it then.
	LongLeaseDelay time.Duration
	// Long is the longest promise while the store is away.
	MaxLongLease time.Duration
	// Settle is the time without a further target after which keys are assigned for the first time.
	SettleDelay time.Duration
	// Patience bounds the wait for further targets before the first assignment.
	SettleTimeout time.Duration
	// Interval is the time between two looks at the balance.
	BalanceInterval time.Duration
	// Moves is the number of planned moves that may be under way at once for the balance.
	MaxBalanceMoves int
	// Room is the part of the other targets' slots up to which the keys of a node that restarts may fill them.
	MaxEvacuationLoad float64
	// Stuck is the time after which a planned move that was not confirmed is given up.
	MoveTimeout time.Duration
}

// DefaultConfig returns the usual times.
func DefaultConfig() Config {
	return Config{
		Lease:             2 * time.Second,
		Margin:            100 * time.Millisecond,
		MaxClockDrift:     0.02,
		MaxStoreOutage:    10 * time.Second,
		LongLeaseDelay:    1200 * time.Millisecond,
		MaxLongLease:      6 * time.Second,
		SettleDelay:       700 * time.Millisecond,
		SettleTimeout:     3 * time.Second,
		BalanceInterval:   250 * time.Millisecond,
		MaxBalanceMoves:   8,
		MaxEvacuationLoad: 0.7,
		MoveTimeout:       6 * time.Second,
	}
}

// State is what a node says about the target that it serves as a holder.
type State string

// States of a holder.
const (
	// Ready means that the target takes keys.
	Ready State = "ready"
	// Leaving means that the target is about to end; its keys go elsewhere.
	Leaving State = "leaving"
	// Stopping means that the node restarts while the target stays; its keys go elsewhere if the
	// other targets have room for them.
	Stopping State = "stopping"
	// Dead means that the target's process has ended; it holds nothing.
	Dead State = "dead"
)

// Released says that a holder has given up a span that it held under the fence.
type Released struct {
	seamtable.Span
	Fence uint64
	// Handover is what the target gave back with the keys.
	Handover string
}

// Beat is the report of the node beside a holder.
type Heartbeat struct {
	// Epoch is the highest epoch that the node has accepted.
	Epoch  uint64
	Holder seamtable.Holder
	// Node is the node that reports.
	Node seampeer.Peer
	// Revision is that of the list of ranges that the node has.
	Revision int64
	State    State
	// Settled says that the life holds nothing that was meant for a former one at its address.
	NoEarlierGrants bool
	Released        []Released
	Load            seamtable.Load
}

// Reply answers a beat.
type Reply struct {
	Epoch uint64
	// Promise is the time from the sending of the beat for which the ranges are the holder's.
	Lease    time.Duration
	Revision int64
	// Changed says that Ranges is the complete list; otherwise the list stays as it was.
	Changed bool
	Ranges  []seamtable.Range
	// Release lists what the holder is to give up.
	Release []seamtable.Range
}

// holder is what the assigner knows of one holder in its epoch.
type holder struct {
	state State
	load  seamtable.Load
	// right is the end of the holder's right, by what was promised to it.
	right seamclock.Instant
	// attached says that the node has accepted the present epoch.
	attached bool
	// first is the time of the first beat.
	first seamclock.Instant
}

// move is a planned change of holder whose keys have not been released yet.
type move struct {
	seamtable.Span
	giver, taker seamtable.Holder
	fence        uint64
	since        seamclock.Instant
}

// Assigner assigns the keys of one service during one epoch. It is a state
// machine without clocks and without network, not safe for concurrent use.
type Assigner struct {
	cfg   Config
	self  seamtable.Assigner
	epoch uint64
	// began is the time at which the epoch began.
	began seamclock.Instant
	// durable is the table as it stands in the store, at revision.
	durable  seamtable.Table
	revision int64
	// next is the table that is wanted.
	next seamtable.Table
	// changed says that next differs from what was written last.
	changed bool
	// writing says that a write is under way.
	writing bool
	holders map[seamtable.Holder]*holder
	moves   []move
	// joined is the time at which a holder was seen for the first time.
	joined seamclock.Instant
	// balanced is the time of the last look at the balance.
	balanced seamclock.Instant
	// plans counts the moves that were planned.
	plans int
	// predecessors are the earlier assigners whose promises may be in force.
	predecessors []predecessor
	// foreign is the latest end of a promise of a predecessor.
	foreign seamclock.Instant
	// renewed is the time at which the store confirmed the office last.
	renewed seamclock.Instant
	// former is the end of what this run of the node has promised in earlier epochs.
	former seamclock.Instant
	// longest is the latest end of a promise of this assigner.
	longest seamclock.Instant
	// lost holds the last known load of keys whose holders are gone.
	lost []seamtable.Chunk
}

// Version identifies what the holders should know.
type Version struct {
	// Revision is that of the table in the store.
	Revision int64
	// Moves counts the moves that were planned.
	Moves int
}

// New begins an epoch of the assigner self with the table found in the store. The epoch is above
// that of the table. What this run of the node has promised in earlier epochs ends before former.
func New(cfg Config, now seamclock.Instant, self seamtable.Assigner, former seamclock.Instant, found seamtable.Table, revision int64) *Assigner {
	a := &Assigner{
		cfg:      cfg,
		epoch:    self.Epoch,
		began:    now,
		durable:  found,
		revision: revision,
		self:     self,
		changed:  true,
		holders:  map[seamtable.Holder]*holder{},
		balanced: now,
		renewed:  now,
		longest:  now,
		former:   former,
	}
	a.adopt(now, found)
	return a
}

// predecessor is an earlier assigner.
type predecessor struct {
	seamtable.Assigner
	// resigned says that it promises nothing any more, and that what it has promised ends before over.
	resigned bool
	over     seamclock.Instant
}

// Predecessors returns the earlier assigners whose promises may be in force for longer than any assigner's usual ones.
func (a *Assigner) Predecessors() []seamtable.Assigner {
	list := make([]seamtable.Assigner, 0, len(a.predecessors)+1)
	for _, p := range a.predecessors {
		list = append(list, p.Assigner)
	}
	return list
}

// Succeed takes note that an assigner promises nothing any more, and that what it has promised ends before over.
func (a *Assigner) PredecessorResigned(now seamclock.Instant, resigned seamtable.Assigner, over seamclock.Instant) {
	for i := range a.predecessors {
		if p := &a.predecessors[i]; resigned.Covers(p.Assigner) {
			p.resigned, p.over = true, over
		}
	}
	a.succeeded(now)
}

// succeeded forgets the predecessors whose promises end no later than one that is made now: for those each
// successor waits anyway. Once all predecessors have resigned, their promises bound the wait of this assigner.
func (a *Assigner) succeeded(now seamclock.Instant) {
	end := now.Add(a.cfg.MaxRemoteDuration(a.cfg.Lease))
	a.predecessors = slices.DeleteFunc(a.predecessors, func(p predecessor) bool {
		return p.resigned && seamclock.MaxElapsed(p.over, end) <= 0
	})
	if assigners := append(a.Predecessors(), a.self); !slices.Equal(assigners, a.next.Assigners) {
		// A successor that finds a predecessor in the table waits for its promises once more.
		a.next.Assigners = assigners
		a.changed = true
	}
	for _, p := range a.predecessors {
		if !p.resigned {
			return
		}
		end = seamclock.Later(end, p.over)
	}
	if seamclock.MinElapsed(a.foreign, end) > 0 {
		a.foreign = end
	}
}

// Renew takes note that the store confirmed the office, by a call that was sent at a time.
func (a *Assigner) ConfirmLeadership(sent seamclock.Instant) { a.renewed = sent }

// Longest returns the time after which nothing that this assigner has promised is in force.
func (a *Assigner) LastLeaseEnd() seamclock.Instant { return a.longest }

// promise returns the length of a promise that is made now. None lasts longer than a successor waits for.
func (a *Assigner) promise(now seamclock.Instant) time.Duration {
	away := seamclock.MaxElapsed(now, a.renewed)
	if away < a.cfg.LongLeaseDelay {
		return a.cfg.Lease
	}
	return min(max(a.cfg.MaxStoreOutage-away, 0)+a.cfg.Lease, a.cfg.MaxLongLease)
}

// promiseTo notes a promise to a holder.
func (a *Assigner) promiseTo(now seamclock.Instant, h *holder, d time.Duration) {
	h.right = seamclock.Later(h.right, now.Add(a.cfg.MaxRemoteDuration(d)))
	a.longest = seamclock.Later(a.longest, h.right)
}

// Epoch returns the epoch of the assigner.
func (a *Assigner) Epoch() uint64 { return a.epoch }

// Table returns the table as it stands in the store.
func (a *Assigner) Table() seamtable.Table { return a.durable }

// Beat takes a report and returns the answer. Before the epoch is written to
// the store, nothing is promised.
func (a *Assigner) Heartbeat(now seamclock.Instant, b Heartbeat) Reply {
	h := a.holder(now, b)
	h.state = b.State
	a.seat(b.Holder, b.Node)
	if b.Load.Slots > 0 {
		h.load = b.Load
	}
	if b.Epoch == a.epoch && !h.attached {
		// The last promise of the predecessor that the node took is older than this beat.
		h.attached = true
		a.promiseTo(now, h, a.cfg.Lease)
	}
	if b.NoEarlierGrants {
		a.bury(b.Holder)
	}
	for _, r := range b.Released {
		a.released(now, b.Holder, r)
	}
	if b.State == Dead {
		a.drop(b.Holder)
	}
	return a.reply(now, b, h)
}

func (a *Assigner) holder(now seamclock.Instant, b Heartbeat) *holder {
	h := a.holders[b.Holder]
	if h == nil {
		h = &holder{first: now, right: now}
		a.holders[b.Holder] = h
		a.joined = now
	}
	return h
}

func (a *Assigner) reply(now seamclock.Instant, b Heartbeat, h *holder) Reply {
	if a.durable.Epoch != a.epoch || b.State == Dead {
		return Reply{Epoch: a.epoch, Revision: a.revision}
	}
	r := Reply{Epoch: a.epoch, Lease: a.promise(now), Revision: a.revision}
	a.promiseTo(now, h, r.Lease)
	list := a.promised(b.Holder)
	// The holder may have keys on its list that it is to lose, and that the table in the store still gives it.
	withdrawn := keys(list) != keys(a.durable.RangesOf(b.Holder))
	if b.Revision != a.revision || b.Epoch != a.epoch || withdrawn {
		r.Changed, r.Ranges = true, list
	}
	r.Release = a.releases(b.Holder)
	return r
}

// News returns what a holder should know at once. It promises nothing.
func (a *Assigner) Update(h seamtable.Holder) (Reply, bool) {
	if a.durable.Epoch != a.epoch || a.holders[h] == nil {
		return Reply{}, false
	}
	return Reply{Epoch: a.epoch, Revision: a.revision, Changed: true, Ranges: a.promised(h), Release: a.releases(h)}, true
}

// Final returns the table in the store as an assigner leaves it that promises nothing any more. Its
// predecessors may. The assigner stays in the table while it has long promises in force.
func (a *Assigner) FinalTable(now seamclock.Instant) seamtable.Table {
	t := a.durable.Clone()
	t.Assigners = a.Predecessors()
	if seamclock.MaxElapsed(a.longest, now.Add(a.cfg.MaxRemoteDuration(a.cfg.Lease))) > 0 {
		t.Assigners = append(t.Assigners, a.self)
	}
	return t
}

// Version changes whenever a holder has news.
func (a *Assigner) Version() Version {
	return Version{Revision: a.revision, Moves: a.plans}
}

// Bound returns the longest time that a right of another machine may last, which that takes for d.
func (c Config) MaxRemoteDuration(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.MaxClockDrift) + c.Margin
}

// promised returns the ranges that are the holder's both in the store and in the wanted table.
func (a *Assigner) promised(h seamtable.Holder) []seamtable.Range {
	var list []seamtable.Range
	for _, r := range a.durable.RangesOf(h) {
		for _, w := range a.next.RangesOf(h) {
			if w.Fence != r.Fence || !w.Overlaps(r.Span) {
				continue
			}
			common := r
			common.Span = seamtable.Span{From: max(r.From, w.From), To: min(r.To, w.To)}
			list = append(list, common)
		}
	}
	return list
}

// keys returns the number of keys in the ranges.
func keys(ranges []seamtable.Range) int {
	n := 0
	for _, r := range ranges {
		n += r.Len()
	}
	return n
}

func (a *Assigner) releases(h seamtable.Holder) []seamtable.Range {
	var list []seamtable.Range
	for _, m := range a.moves {
		if m.giver == h {
			list = append(list, seamtable.Range{Span: m.Span, Holder: h, Fence: m.fence})
		}
	}
	return list
}

// released takes note that a holder has given up a span, and gives it to the
// target of the planned move.
func (a *Assigner) released(now seamclock.Instant, h seamtable.Holder, r Released) {
	if !a.holds(h, r) {
		return
	}
	a.next.Unassign(r.Span)
	a.changed = true
	to, planned := a.takeMove(h, r.Span)
	if planned && a.takes(to) {
		a.next.Assign(r.Span, to, r.Handover)
		return
	}
	for _, p := range seamtable.Distribute([]seamtable.Span{r.Span}, a.candidates(now, h), nil) {
		a.next.Assign(p.Span, p.Holder, r.Handover)
	}
}

// holds reports whether the wanted table gives the whole span to the holder under the fence.
func (a *Assigner) holds(h seamtable.Holder, r Released) bool {
	for _, o := range a.next.RangesOf(h) {
		if o.Fence == r.Fence && o.From <= r.From && o.To >= r.To {
			return true
		}
	}
	return false
}

func (a *Assigner) takeMove(h seamtable.Holder, s seamtable.Span) (to seamtable.Holder, ok bool) {
	for i, m := range a.moves {
		if m.giver == h && m.Span == s {
			a.moves = slices.Delete(a.moves, i, i+1)
			return m.taker, true
		}
	}
	return seamtable.Holder{}, false
}

// takes reports whether the holder takes keys.
func (a *Assigner) takes(h seamtable.Holder) bool {
	known := a.holders[h]
	return known != nil && known.state == Ready
}

// seat notes the node beside a holder.
func (a *Assigner) seat(h seamtable.Holder, at seampeer.Peer) {
	if a.next.Nodes == nil {
		a.next.Nodes = map[seamtable.Holder]seampeer.Peer{}
	}
	if a.next.Nodes[h] == at {
		return
	}
	a.next.Nodes[h] = at
	if len(a.next.RangesOf(h)) > 0 {
		a.changed = true
	}
}

// bury takes all keys from the former lives at the address of a holder.
func (a *Assigner) bury(h seamtable.Holder) {
	for _, o := range a.owners() {
		if h.Supersedes(o) {
			a.drop(o)
		}
	}
}

// drop takes all keys from a holder whose right is over.
func (a *Assigner) drop(h seamtable.Holder) {
	if known := a.holders[h]; known != nil {
		a.lost = append(a.lost, known.load.Chunks...)
	}
	if len(a.next.UnassignHolder(h)) > 0 {
		a.changed = true
	}
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool { return m.giver == h })
}

// Wanted returns the table to write under the condition that the store's table
// has the revision. It returns false if there is nothing to write. Each call that
// returned true is followed by Stored.
func (a *Assigner) PendingWrite() (t seamtable.Table, revision int64, ok bool) {
	if a.writing || !a.changed {
		return seamtable.Table{}, 0, false
	}
	a.writing, a.changed = true, false
	return a.next.Clone(), a.revision, true
}

// Stored takes note that the table was written.
func (a *Assigner) WriteSucceeded(t seamtable.Table, revision int64) {
	a.writing = false
	a.durable, a.revision = t, revision
}

// Failed takes note that a write had no effect, so that it is due again.
func (a *Assigner) WriteFailed() {
	a.writing = false
	a.changed = true
}

// Uncertain takes note that a write may have had an effect: found is the table
// that stands in the store now. It reports false if another assigner wrote it.
func (a *Assigner) WriteUncertain(now seamclock.Instant, found seamtable.Table, revision int64) bool {
	if found.Epoch > a.epoch {
		return false
	}
	a.writing, a.changed = false, true
	a.durable, a.revision = found, revision
	if found.Epoch != a.epoch {
		a.adopt(now, found)
	}
	return true
}

// adopt starts from the table that the predecessor left.
func (a *Assigner) adopt(now seamclock.Instant, found seamtable.Table) {
	nodes := a.next.Nodes
	a.next = found.Clone()
	a.next.Epoch = a.epoch
	if a.next.Nodes == nil {
		a.next.Nodes = map[seamtable.Holder]seampeer.Peer{}
	}
	maps.Copy(a.next.Nodes, nodes)
	a.moves = nil
	a.predecessors = nil
	for _, p := range found.Assigners {
		a.predecessors = append(a.predecessors, predecessor{Assigner: p})
	}
	a.foreign = now.Add(a.cfg.MaxRemoteDuration(a.cfg.MaxStoreOutage + a.cfg.Lease))
	a.PredecessorResigned(now, a.self, a.former)
}
