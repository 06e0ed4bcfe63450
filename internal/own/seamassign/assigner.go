// Package seamassign assigns the keys of a service to targets. One node at a time, the elected leader, is the assigner
// of a service. It writes the ownership table to the store. It grants each holder, an incarnation of a target that owns
// keys, a short lease on these keys, and renews the lease with each answer to a heartbeat.
package seamassign

import (
	"maps"
	"slices"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// holder is the assigner's state of one holder in the current epoch.
type holder struct {
	state State
	load  seamtable.Load
	// leaseEnd is the time after which the holder has no valid lease from this assigner.
	leaseEnd seamclock.Instant
	// acceptedEpoch reports whether the node has accepted the current epoch.
	acceptedEpoch bool
	// firstSeen is the time of the first heartbeat.
	firstSeen seamclock.Instant
	// node is the node that sent the last heartbeat.
	node seampeer.Peer
}

// move is a planned change of holder whose source has not released the keys yet.
type move struct {
	seamtable.Span
	source, destination seamtable.Holder
	fence               uint64
	plannedAt           seamclock.Instant
	// rate is the request rate of the span when the move was planned.
	rate float64
	// waiting means that the source has not been asked to release the keys, since the destination is taking over others.
	waiting bool
}

// Assigner assigns the keys of one service during one epoch. It is a state machine
// that uses neither clock nor network. It is not safe for concurrent use.
type Assigner struct {
	cfg   Config
	self  seamtable.Assigner
	epoch uint64
	// era is the era of the store in which the epoch began. An assigner acts in one era only.
	era int64
	// startedAt is the start time of the epoch.
	startedAt seamclock.Instant
	// stored is the table in the store as last known, at revision.
	stored   seamtable.Table
	revision int64
	// desired is the table that the store should hold.
	desired                   seamtable.Table
	storedIndex, desiredIndex rangeIndex
	// dirty reports whether desired differs from the last written table.
	dirty bool
	// collecting reports that the first write waits for the claims of the holders.
	collecting bool
	// writing reports whether a write is in progress.
	writing bool
	holders map[seamtable.Holder]*holder
	moves   []move
	// placement restricts the holders that may have keys.
	placement seamtable.Placement
	// arrivals are the moves completed within arrivalTTL.
	arrivals []arrival
	// lastJoin is the time at which a new holder last reported.
	lastJoin seamclock.Instant
	// lastBalanceCheck is the time of the last check of the load balance.
	lastBalanceCheck seamclock.Instant
	// plannedMoves counts the moves planned so far.
	plannedMoves int
	// predecessors are the earlier assigners whose leases may still be valid.
	predecessors []predecessor
	// predecessorLeaseEnd is the latest end of a lease granted by a predecessor.
	predecessorLeaseEnd seamclock.Instant
	// lostLeaseEnd is the latest end of a lease granted by an assigner that nobody knows.
	lostLeaseEnd seamclock.Instant
	// leadershipConfirmed is the time at which the store last confirmed the leadership.
	leadershipConfirmed seamclock.Instant
	// earlierLeaseEnd is the latest end of the leases that this incarnation of the node granted in earlier epochs.
	earlierLeaseEnd seamclock.Instant
	// lastLeaseEnd is the latest end of a lease granted by this assigner.
	lastLeaseEnd seamclock.Instant
	// orphanedLoad is the last known load of keys whose holders were removed.
	orphanedLoad []seamtable.Chunk
}

// Version identifies the state that the holders should have received.
type Version struct {
	// Revision is the revision of the table in the store.
	Revision int64
	// Moves is the number of moves planned so far.
	Moves int
}

// New starts an epoch of the assigner self with the table found in the store. The epoch must be higher than
// that of the table. Leases that this incarnation of the node granted in earlier epochs expire before earlierLeaseEnd.
func New(cfg Config, now seamclock.Instant, self seamtable.Assigner, earlierLeaseEnd seamclock.Instant, found seamtable.Table, revision int64) *Assigner {
	a := &Assigner{
		cfg:                 cfg,
		epoch:               self.Epoch,
		era:                 seamtable.EpochEra(self.Epoch),
		startedAt:           now,
		stored:              found,
		revision:            revision,
		self:                self,
		dirty:               true,
		holders:             map[seamtable.Holder]*holder{},
		lastBalanceCheck:    now,
		leadershipConfirmed: now,
		lastLeaseEnd:        now,
		earlierLeaseEnd:     earlierLeaseEnd,
	}
	a.adoptTable(now, found)
	return a
}

// ConfirmLeadership records that the store confirmed the leadership in answer to a call sent at the given time.
func (a *Assigner) ConfirmLeadership(sent seamclock.Instant) { a.leadershipConfirmed = sent }

// LastLeaseEnd returns the time after which no lease granted by this assigner is valid.
func (a *Assigner) LastLeaseEnd() seamclock.Instant { return a.lastLeaseEnd }

// leaseDuration returns the duration of a lease granted now. No lease outlasts the time that a successor waits before it
// reassigns keys, which is at least MaxStoreOutage plus Lease after the last confirmation of the leadership.
func (a *Assigner) leaseDuration(now seamclock.Instant) time.Duration {
	outage := seamclock.MaxElapsed(now, a.leadershipConfirmed)
	if outage < a.cfg.LongLeaseDelay {
		return a.cfg.Lease
	}
	return min(max(a.cfg.MaxStoreOutage-outage, 0)+a.cfg.Lease, a.cfg.MaxLongLease)
}

// latestLeaseEnd returns the time at which the leases of all assigners have expired whose leadership ended before now.
func (a *Assigner) latestLeaseEnd(now seamclock.Instant) seamclock.Instant {
	return now.Add(a.cfg.MaxRemoteDuration(a.cfg.MaxStoreOutage + a.cfg.Lease))
}

// extendLease extends the recorded lease of a holder to at least d from now.
func (a *Assigner) extendLease(now seamclock.Instant, h *holder, d time.Duration) {
	h.leaseEnd = seamclock.Later(h.leaseEnd, now.Add(a.cfg.MaxRemoteDuration(d)))
	a.lastLeaseEnd = seamclock.Later(a.lastLeaseEnd, h.leaseEnd)
}

// Epoch returns the epoch of the assigner.
func (a *Assigner) Epoch() uint64 { return a.epoch }

// Table returns the table in the store.
func (a *Assigner) Table() seamtable.Table { return a.stored }

// Heartbeat processes a heartbeat and returns the reply. It grants no lease before the epoch is written to the store.
func (a *Assigner) Heartbeat(now seamclock.Instant, hb Heartbeat) Reply {
	h := a.holderFor(now, hb)
	h.state, h.node = hb.State, hb.Node
	a.setNode(hb.Holder, hb.Node)
	if hb.Load.MaxConcurrency > 0 {
		h.load = hb.Load
	}
	if hb.Epoch == a.epoch && !h.acceptedEpoch {
		// From now on the node accepts no lease from a predecessor, and what is left of the last one that it accepted ends
		// within Lease (seamholder.Config.FormerEpochTTL).
		h.acceptedEpoch = true
		a.extendLease(now, h, a.cfg.Lease)
	}
	if hb.NoEarlierGrants {
		a.dropEarlierIncarnations(hb.Holder)
	}
	if hb.Epoch == a.epoch {
		a.adoptClaims(now, hb.Holder, hb.Claims)
	}
	for _, r := range hb.Released {
		a.applyRelease(now, hb.Holder, r)
	}
	if hb.State == Dead {
		a.dropHolder(hb.Holder)
	}
	return a.reply(now, hb, h)
}

func (a *Assigner) holderFor(now seamclock.Instant, hb Heartbeat) *holder {
	h := a.holders[hb.Holder]
	if h == nil {
		h = &holder{firstSeen: now, leaseEnd: now}
		a.holders[hb.Holder] = h
		a.lastJoin = now
	}
	return h
}

func (a *Assigner) reply(now seamclock.Instant, hb Heartbeat, h *holder) Reply {
	if a.stored.Epoch != a.epoch || hb.State == Dead || a.claimsPending(hb.Holder, h) {
		return Reply{Epoch: a.epoch, Revision: a.revision}
	}
	r := Reply{Epoch: a.epoch, Lease: a.leaseDuration(now), Revision: a.revision}
	a.extendLease(now, h, r.Lease)
	list := a.leasedRanges(hb.Holder)
	// The holder's list may contain keys that it is about to lose but still owns in the stored table.
	withdrawn := countKeys(list) != countKeys(a.storedRanges(hb.Holder))
	if hb.Revision != a.revision || hb.Epoch != a.epoch || withdrawn {
		r.Changed, r.Ranges = true, list
	}
	r.Release = a.pendingReleases(hb.Holder)
	return r
}

// Update returns the ranges and requested releases of a holder, to be sent without waiting for its next heartbeat. It
// grants no lease, and returns false if the holder is unknown or the epoch is not stored yet.
func (a *Assigner) Update(h seamtable.Holder) (Reply, bool) {
	known := a.holders[h]
	if a.stored.Epoch != a.epoch || known == nil || a.claimsPending(h, known) {
		return Reply{}, false
	}
	return Reply{Epoch: a.epoch, Revision: a.revision, Changed: true, Ranges: a.leasedRanges(h), Release: a.pendingReleases(h)}, true
}

// FinalTable returns the table to store when this assigner resigns and grants no more leases. The table keeps the
// assigners that Predecessors returns, and this one if its leases outlast one of Config.Lease granted now.
func (a *Assigner) FinalTable(now seamclock.Instant) seamtable.Table {
	t := a.stored.Clone()
	t.Assigners = a.Predecessors()
	if seamclock.MaxElapsed(a.lastLeaseEnd, now.Add(a.cfg.MaxRemoteDuration(a.cfg.Lease))) > 0 {
		t.Assigners = append(t.Assigners, a.self)
	}
	return t
}

// Version returns a value that changes whenever there is an update for a holder.
func (a *Assigner) Version() Version {
	return Version{Revision: a.revision, Moves: a.plannedMoves}
}

func (a *Assigner) pendingReleases(h seamtable.Holder) []seamtable.Range {
	var list []seamtable.Range
	for i := range a.moves {
		if m := &a.moves[i]; m.source == h && !m.waiting {
			list = append(list, seamtable.Range{Span: m.Span, Holder: h, Fence: m.fence})
		}
	}
	return list
}

// applyRelease records that a holder has released a span, and assigns the span to
// the destination of the planned move.
func (a *Assigner) applyRelease(now seamclock.Instant, h seamtable.Holder, r Released) {
	if !a.ownsSpan(h, r) {
		return
	}
	a.unassign(r.Span)
	a.dirty = true
	done, planned := a.removeMove(h, r.Span)
	if planned && a.acceptsKeys(done.destination) {
		a.assign(r.Span, done.destination, r.Handover)
		a.arrivals = append(a.arrivals, arrival{holder: done.destination, rate: done.rate, at: now})
		return
	}
	candidates := a.candidates(now, h)
	if len(candidates) == 0 && a.returnsKeys(h) {
		a.assign(r.Span, h, r.Handover)
		return
	}
	for _, assignment := range seamtable.Distribute([]seamtable.Span{r.Span}, candidates, nil) {
		a.assign(assignment.Span, assignment.Holder, r.Handover)
	}
}

// ownsSpan reports whether the desired table assigns the whole span to the holder under the released fence.
func (a *Assigner) ownsSpan(h seamtable.Holder, r Released) bool {
	for _, o := range a.desiredRanges(h) {
		if o.Fence == r.Fence && o.From <= r.From && o.To >= r.To {
			return true
		}
	}
	return false
}

// removeMove removes the planned move of a span from a holder; ok is false if there is none.
func (a *Assigner) removeMove(h seamtable.Holder, s seamtable.Span) (removed move, ok bool) {
	for i, m := range a.moves {
		if m.source == h && m.Span == s {
			a.moves = slices.Delete(a.moves, i, i+1)
			return m, true
		}
	}
	return move{}, false
}

// acceptsKeys reports whether the holder is known, in state Ready and allowed by the placement.
func (a *Assigner) acceptsKeys(h seamtable.Holder) bool {
	known := a.holders[h]
	return known != nil && known.state == Ready && a.placement.Allows(known.node)
}

// setNode records the node of a holder.
func (a *Assigner) setNode(h seamtable.Holder, node seampeer.Peer) {
	if a.desired.Nodes == nil {
		a.desired.Nodes = map[seamtable.Holder]seampeer.Peer{}
	}
	if a.desired.Nodes[h] == node {
		return
	}
	a.desired.Nodes[h] = node
	if len(a.desiredRanges(h)) > 0 {
		a.dirty = true
	}
}

// dropEarlierIncarnations takes all keys from earlier incarnations at the address of a holder.
func (a *Assigner) dropEarlierIncarnations(h seamtable.Holder) {
	for _, o := range a.holdersWithKeys() {
		if h.Supersedes(o) {
			a.dropHolder(o)
		}
	}
}

// dropHolder takes all keys from a holder, whose lease has expired or whose process has exited.
func (a *Assigner) dropHolder(h seamtable.Holder) {
	if known := a.holders[h]; known != nil {
		a.orphanedLoad = append(a.orphanedLoad, known.load.Chunks...)
	}
	if a.unassignHolder(h) {
		a.dirty = true
	}
	a.moves = slices.DeleteFunc(a.moves, func(m move) bool { return m.source == h })
}

// WritePending reports whether the table in the store should be replaced.
func (a *Assigner) WritePending() bool { return a.dirty }

// PendingWrite returns the table to write if the store's table still has the given
// revision, or false if there is nothing to write. After a call that returned true,
// the caller reports the outcome with WriteSucceeded, WriteFailed or WriteUncertain.
func (a *Assigner) PendingWrite() (t seamtable.Table, revision int64, ok bool) {
	if a.writing || !a.dirty || a.collecting {
		return seamtable.Table{}, 0, false
	}
	a.writing, a.dirty = true, false
	return a.desired.Clone(), a.revision, true
}

// WriteSucceeded records that the table was written.
func (a *Assigner) WriteSucceeded(t seamtable.Table, revision int64) {
	a.writing = false
	a.setStored(t, revision)
}

// WriteFailed records that a write had no effect and must be retried.
func (a *Assigner) WriteFailed() {
	a.writing = false
	a.dirty = true
}

// WriteUncertain records that a write was rejected because of a conflict, or that its outcome is unknown: found is the
// table that is now in the store. It returns false if an assigner of a later epoch wrote it.
func (a *Assigner) WriteUncertain(now seamclock.Instant, found seamtable.Table, revision int64) bool {
	if found.Epoch > a.epoch {
		return false
	}
	a.writing, a.dirty = false, true
	a.setStored(found, revision)
	if found.Epoch != a.epoch {
		a.adoptTable(now, found)
	}
	return true
}

// adoptTable continues from a table that a predecessor wrote. Of a table of an earlier era it uses the counters only. It assumes
// that none of the listed assigners has resigned.
func (a *Assigner) adoptTable(now seamclock.Instant, found seamtable.Table) {
	nodes := a.desired.Nodes
	a.collecting = a.ofEarlierEra(found)
	if a.collecting {
		found = withoutOwners(found)
	}
	a.desired = found.Clone()
	a.desiredIndex.reset()
	a.desired.Epoch, a.desired.Era = a.epoch, a.era
	if a.desired.Nodes == nil {
		a.desired.Nodes = map[seamtable.Holder]seampeer.Peer{}
	}
	maps.Copy(a.desired.Nodes, nodes)
	a.moves = nil
	a.predecessors = nil
	for _, p := range found.Assigners {
		a.predecessors = append(a.predecessors, predecessor{Assigner: p})
	}
	a.predecessorLeaseEnd = a.latestLeaseEnd(now)
	a.lostLeaseEnd = a.predecessorLeaseEnd
	// Earlier epochs of this incarnation of the node have ended.
	a.PredecessorResigned(now, a.self, a.earlierLeaseEnd)
}
