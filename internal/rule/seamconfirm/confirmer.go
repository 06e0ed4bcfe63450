// Package seamconfirm tracks which cells have confirmed a revision of the rules.
// A change is accepted once every live cell has confirmed its revision.
package seamconfirm

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamrulewire"
)

const (
	// retryBackoffInitial is the delay before a request is first resent.
	retryBackoffInitial = 100 * time.Millisecond
	// retryBackoffMax is the upper bound of the exponential backoff.
	retryBackoffMax = time.Second
	// requestTimeout is the maximum time for which confirmation of a revision is requested.
	requestTimeout = 10 * time.Minute
	// maxPendingRevisions is the maximum number of revisions with pending confirmations.
	maxPendingRevisions = 256
	// waiterTTL is the time for which a coordinator remembers a node that waits for a confirmation.
	waiterTTL = 10 * time.Second
	// maxWaiters is the maximum number of remembered waiters.
	maxWaiters = 64
	// tickInterval is the interval at which Run calls Tick.
	tickInterval = 50 * time.Millisecond
)

// CellRef names a cell and its coordinator.
type CellRef struct {
	ID          string
	Coordinator seampeer.Peer
}

// CellState holds the revision that a cell has confirmed.
type CellState struct {
	Cell  string
	Epoch uint64
	// Confirmed is the highest revision that is active at every serving member.
	Confirmed int64
}

// CellDirectory lists the cells of the deployment and gives the state of this node's cell.
type CellDirectory interface {
	// Cells returns all live cells of the deployment.
	Cells() []CellRef
	// OwnCell returns the state of this node's cell, and whether this node coordinates it.
	OwnCell() (CellState, bool)
}

// Sender sends a datagram about rules to a node. It does not block.
type Sender interface {
	Send(to seampeer.Peer, payload []byte) error
}

// RevisionHandler is called when a peer knows of a revision that may not be active at this node yet.
// It must not block.
type RevisionHandler func(now time.Time, from seampeer.Peer, revision int64)

// Status describes which cells have confirmed a revision.
type Status struct {
	Revision int64 `json:"revision"`
	// Accepted means that every live cell has confirmed the revision.
	Accepted bool `json:"accepted"`
	// Cells are sorted by name.
	Cells []CellStatus `json:"cells"`
}

// CellStatus describes the confirmation of one cell.
type CellStatus struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
	// Confirmed is the highest confirmed revision received, or 0 if the cell has not answered.
	Confirmed   int64  `json:"confirmed"`
	Coordinator string `json:"coordinator"`
	Accepted    bool   `json:"accepted"`
}

// UnconfirmedCells returns the names of the cells that have not confirmed the revision.
func (s Status) UnconfirmedCells() []string {
	var missing []string
	for _, c := range s.Cells {
		if !c.Accepted {
			missing = append(missing, c.Cell)
		}
	}
	return missing
}

// Confirmer requests confirmations from other cells and answers for its own cell.
// It is safe for concurrent use.
type Confirmer struct {
	cells      CellDirectory
	sender     Sender
	onRevision RevisionHandler
	sink       seamevent.Sink
	requests   *metrics.Counter
	answers    *metrics.Counter
	latency    *metrics.Histogram

	mu sync.Mutex
	// states holds the highest epoch and revision received of each cell.
	states map[string]CellState
	// request asks for the highest pending revision; its revision is 0 if none is pending.
	request request
	// pending holds the time of the first request for each revision that is not accepted yet.
	pending map[int64]time.Time
	waiters []waiter
	changed chan struct{}
}

// request is a repeated request to all cells that have not confirmed a revision.
type request struct {
	revision int64
	attempt  uint32
	nextSend time.Time
	backoff  time.Duration
}

// waiter is a node that waits for this node's cell to confirm a revision.
type waiter struct {
	peer      seampeer.Peer
	revision  int64
	expiresAt time.Time
}

// New returns a Confirmer. onRevision may be nil.
func New(cells CellDirectory, sender Sender, onRevision RevisionHandler, sink seamevent.Sink, m *metrics.Set) *Confirmer {
	if onRevision == nil {
		onRevision = func(time.Time, seampeer.Peer, int64) {}
	}
	return &Confirmer{
		cells:      cells,
		sender:     sender,
		onRevision: onRevision,
		sink:       sink,
		requests:   m.NewCounter(`cardamomseam_confirm_asks_total`),
		answers:    m.NewCounter(`cardamomseam_confirm_answers_total`),
		latency:    m.NewHistogram(`cardamomseam_confirm_seconds`),
		states:     map[string]CellState{},
		pending:    map[int64]time.Time{},
		changed:    make(chan struct{}),
	}
}

// RequestConfirmation requests confirmation of the revision from all cells at once and resends the
// request to those that have not confirmed it. It has no effect if the revision is already pending.
// The revision must have been recorded, because coordinators fetch it if they lack it.
func (c *Confirmer) RequestConfirmation(now time.Time, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, pending := c.pending[revision]; pending || revision <= c.lowestConfirmed() {
		return
	}
	if len(c.pending) == maxPendingRevisions {
		return
	}
	c.pending[revision] = now
	if revision > c.request.revision {
		c.request = request{revision: revision, nextSend: now, backoff: retryBackoffInitial}
	}
	c.tick(now)
}

// AnnounceRevision informs nodes that the revision is active at this node, so that lagging nodes fetch
// it at once. A lost announcement is not resent.
func (c *Confirmer) AnnounceRevision(revision int64, to []seampeer.Peer) {
	announcement := &seamrulewire.Datagram{Ask: &seamrulewire.Ask{Revision: revision}}
	for _, p := range to {
		c.send(p, announcement)
	}
}

// Tick resends due requests and answers waiters. It must be called at least every 100 ms.
func (c *Confirmer) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick(now)
}

func (c *Confirmer) tick(now time.Time) {
	c.answerWaiters(now)
	c.completeRequests(now)
	r := &c.request
	if r.revision == 0 || now.Before(r.nextSend) {
		return
	}
	request := &seamrulewire.Datagram{Ask: &seamrulewire.Ask{Revision: r.revision, Attempt: r.attempt}}
	own, coordinates := c.cells.OwnCell()
	for _, ref := range c.cells.Cells() {
		isOwn := coordinates && ref.ID == own.Cell
		if !isOwn && !ref.Coordinator.Zero() && c.states[ref.ID].Confirmed < r.revision {
			c.requests.Inc()
			c.send(ref.Coordinator, request)
		}
	}
	r.attempt++
	r.nextSend = now.Add(r.backoff)
	r.backoff = min(2*r.backoff, retryBackoffMax)
}

// completeRequests removes pending revisions that were accepted or have timed out.
func (c *Confirmer) completeRequests(now time.Time) {
	c.updateOwnState()
	if len(c.pending) == 0 {
		return
	}
	lowest := c.lowestConfirmed()
	for revision, since := range c.pending {
		accepted := revision <= lowest
		if accepted {
			c.latency.Update(now.Sub(since).Seconds())
			c.sink.Emit(now, seamevent.RuleAccepted, seamevent.Fields{"revision": revision, "after": now.Sub(since).String()})
		}
		if accepted || now.Sub(since) > requestTimeout {
			delete(c.pending, revision)
			c.notifyChanged()
		}
	}
	if len(c.pending) == 0 {
		c.request = request{}
	}
}

// lowestConfirmed returns the highest revision that every cell has confirmed, or noRevision if no cell
// is known.
func (c *Confirmer) lowestConfirmed() int64 {
	cells := c.cells.Cells()
	if len(cells) == 0 {
		return noRevision
	}
	lowest := int64(math.MaxInt64)
	for _, ref := range cells {
		lowest = min(lowest, c.states[ref.ID].Confirmed)
	}
	return lowest
}

// noRevision is lower than any revision.
const noRevision = -1

func (c *Confirmer) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Confirmer) send(to seampeer.Peer, d *seamrulewire.Datagram) {
	payload, err := proto.Marshal(d)
	if err != nil {
		return
	}
	// A datagram that can't be sent counts as lost; the request is resent.
	_ = c.sender.Send(to, payload)
}

// Receive handles the payload of a datagram about rules.
func (c *Confirmer) Receive(now time.Time, from seampeer.Peer, payload []byte) {
	var d seamrulewire.Datagram
	if err := proto.Unmarshal(payload, &d); err != nil {
		return
	}
	if a := d.GetAsk(); a != nil {
		c.receiveAsk(now, from, a)
	}
	if a := d.GetAnswer(); a != nil {
		c.receiveAnswer(now, a)
	}
}

func (c *Confirmer) receiveAsk(now time.Time, from seampeer.Peer, a *seamrulewire.Ask) {
	c.onRevision(now, from, a.GetRevision())
	c.mu.Lock()
	defer c.mu.Unlock()
	own, coordinates := c.cells.OwnCell()
	if !coordinates {
		return
	}
	if own.Confirmed >= a.GetRevision() || a.GetAttempt() > 0 {
		c.sendAnswer(from, own)
	}
	if own.Confirmed < a.GetRevision() {
		c.addWaiter(waiter{peer: from, revision: a.GetRevision(), expiresAt: now.Add(waiterTTL)})
	}
}

// addWaiter keeps one entry per node and drops the oldest entry when maxWaiters is reached.
func (c *Confirmer) addWaiter(w waiter) {
	c.waiters = slices.DeleteFunc(c.waiters, func(o waiter) bool { return o.peer.Same(w.peer) })
	if len(c.waiters) == maxWaiters {
		c.waiters = slices.Delete(c.waiters, 0, 1)
	}
	c.waiters = append(c.waiters, w)
}

// answerWaiters answers the waiters whose revision this node's cell has confirmed and drops expired
// waiters.
func (c *Confirmer) answerWaiters(now time.Time) {
	if len(c.waiters) == 0 {
		return
	}
	own, coordinates := c.cells.OwnCell()
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if coordinates && own.Confirmed >= w.revision {
			c.sendAnswer(w.peer, own)
			return true
		}
		return now.After(w.expiresAt)
	})
}

func (c *Confirmer) sendAnswer(to seampeer.Peer, own CellState) {
	c.answers.Inc()
	c.send(to, &seamrulewire.Datagram{Answer: &seamrulewire.Answer{
		Cell:      own.Cell,
		Epoch:     own.Epoch,
		Confirmed: own.Confirmed,
	}})
}

func (c *Confirmer) receiveAnswer(now time.Time, a *seamrulewire.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateState(CellState{
		Cell:      a.GetCell(),
		Epoch:     a.GetEpoch(),
		Confirmed: a.GetConfirmed(),
	})
	c.completeRequests(now)
}

func (c *Confirmer) updateOwnState() {
	if own, coordinates := c.cells.OwnCell(); coordinates {
		c.updateState(own)
	}
}

// updateState keeps the latest state of each cell. The epoch and the revision never decrease, so a
// delayed datagram has no effect.
func (c *Confirmer) updateState(s CellState) {
	old := c.states[s.Cell]
	latest := s
	if s.Epoch < old.Epoch {
		latest = old
	}
	latest.Confirmed = max(old.Confirmed, s.Confirmed)
	c.states[s.Cell] = latest
	if s.Confirmed > old.Confirmed {
		c.notifyChanged()
	}
}

// Status returns the known confirmations of the revision.
func (c *Confirmer) Status(revision int64) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateOwnState()
	return c.status(revision)
}

func (c *Confirmer) status(revision int64) Status {
	s := Status{Revision: revision, Accepted: true}
	for _, ref := range c.cells.Cells() {
		h := c.states[ref.ID]
		accepted := h.Confirmed >= revision
		s.Accepted = s.Accepted && accepted
		s.Cells = append(s.Cells, CellStatus{
			Cell: ref.ID, Epoch: h.Epoch, Confirmed: h.Confirmed, Coordinator: ref.Coordinator.Name, Accepted: accepted,
		})
	}
	s.Accepted = s.Accepted && len(s.Cells) > 0
	slices.SortFunc(s.Cells, func(a, b CellStatus) int { return cmp.Compare(a.Cell, b.Cell) })
	return s
}

// Wait returns the status of the revision once more than the known number of cells have confirmed it,
// once all cells have, or when ctx ends. It sends no requests; RequestConfirmation does.
func (c *Confirmer) Wait(ctx context.Context, revision int64, known int) Status {
	for {
		c.mu.Lock()
		c.updateOwnState()
		status, changed := c.status(revision), c.changed
		c.mu.Unlock()
		if status.Accepted || len(status.Cells)-len(status.UnconfirmedCells()) > known {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-changed:
		}
	}
}

// Run calls Tick until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			c.Tick(now)
		}
	}
}
