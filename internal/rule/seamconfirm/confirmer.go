// Package seamconfirm finds out which cells have confirmed a revision of the rules.
// A change is accepted once every live cell has.
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
	// firstWait is the wait before a question is repeated.
	firstWait = 100 * time.Millisecond
	// longestWait bounds the doubling of the wait.
	longestWait = time.Second
	// askTime bounds the time for which cells are asked about one revision.
	askTime = 10 * time.Minute
	// openLimit is the number of revisions that are asked about at a time.
	openLimit = 256
	// askerTime is the time for which a coordinator remembers who asked.
	askerTime = 10 * time.Second
	// askerLimit is the number of remembered askers.
	askerLimit = 64
	// tickInterval is the time between two ticks of Run.
	tickInterval = 50 * time.Millisecond
)

// CellRef names a cell and its coordinator.
type CellRef struct {
	ID          string
	Coordinator seampeer.Peer
}

// CellState is what a cell has confirmed.
type CellState struct {
	Cell  string
	Epoch uint64
	// Confirmed is the highest revision that every serving member has in force.
	Confirmed int64
}

// Cells tells about the cells.
type CellDirectory interface {
	// Cells returns all live cells of the deployment.
	Cells() []CellRef
	// Own returns the state of this node's cell, and whether this node coordinates it.
	OwnCell() (CellState, bool)
}

// Sender sends a datagram about rules to a node. It does not block.
type Sender interface {
	Send(to seampeer.Peer, payload []byte) error
}

// Behind is called when a peer knows of a revision that may not be in force here yet.
// It does not block.
type RevisionHandler func(now time.Time, from seampeer.Peer, revision int64)

// Status tells how far a revision is confirmed.
type Status struct {
	Revision int64 `json:"revision"`
	// Accepted says that every live cell has confirmed the revision.
	Accepted bool `json:"accepted"`
	// Cells are in order of name.
	Cells []CellStatus `json:"cells"`
}

// CellStatus tells what one cell has confirmed.
type CellStatus struct {
	Cell  string `json:"cell"`
	Epoch uint64 `json:"epoch"`
	// Confirmed is the highest revision heard of, 0 if the cell was not heard.
	Confirmed   int64  `json:"confirmed"`
	Coordinator string `json:"coordinator"`
	Accepted    bool   `json:"accepted"`
}

// Missing returns the names of the cells that have not confirmed the revision.
func (s Status) UnconfirmedCells() []string {
	var missing []string
	for _, c := range s.Cells {
		if !c.Accepted {
			missing = append(missing, c.Cell)
		}
	}
	return missing
}

// Confirmer asks cells and answers for its own. Its methods may be called at the same time.
type Confirmer struct {
	cells    CellDirectory
	sender   Sender
	behind   RevisionHandler
	sink     seamevent.Sink
	asked    *metrics.Counter
	answered *metrics.Counter
	delay    *metrics.Histogram

	mu sync.Mutex
	// heard holds the state heard of each cell, with the highest epoch and revision.
	heard map[string]CellState
	// question is the highest revision asked about; its revision is 0 if none is open.
	question question
	// opened holds when each revision that is not accepted yet was first asked about.
	opened  map[int64]time.Time
	askers  []asker
	changed chan struct{}
}

// question is an open question to all cells that have not confirmed a revision.
type question struct {
	revision int64
	attempt  uint32
	next     time.Time
	wait     time.Duration
}

// asker waits for this node's cell to confirm a revision.
type asker struct {
	peer     seampeer.Peer
	revision int64
	until    time.Time
}

// New returns a confirmer. behind may be nil.
func New(cells CellDirectory, sender Sender, behind RevisionHandler, sink seamevent.Sink, m *metrics.Set) *Confirmer {
	if behind == nil {
		behind = func(time.Time, seampeer.Peer, int64) {}
	}
	return &Confirmer{
		cells:    cells,
		sender:   sender,
		behind:   behind,
		sink:     sink,
		asked:    m.NewCounter(`cardamomseam_confirm_asks_total`),
		answered: m.NewCounter(`cardamomseam_confirm_answers_total`),
		delay:    m.NewHistogram(`cardamomseam_confirm_seconds`),
		heard:    map[string]CellState{},
		opened:   map[int64]time.Time{},
		changed:  make(chan struct{}),
	}
}

// Ask asks all cells at once about the revision, which was recorded, and repeats the
// question to those that do not confirm it. Asking again about the same one changes nothing.
// The revision must be one that was recorded: coordinators fetch what they lack.
func (c *Confirmer) RequestConfirmation(now time.Time, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.opened[revision]; open || revision <= c.lowest() {
		return
	}
	if len(c.opened) == openLimit {
		return
	}
	c.opened[revision] = now
	if revision > c.question.revision {
		c.question = question{revision: revision, next: now, wait: firstWait}
	}
	c.tick(now)
}

// Hint tells nodes that the revision is in force here, so that those that lag fetch it at once.
// A lost hint is not repeated.
func (c *Confirmer) AnnounceRevision(revision int64, to []seampeer.Peer) {
	hint := &seamrulewire.Datagram{Ask: &seamrulewire.Ask{Revision: revision}}
	for _, p := range to {
		c.send(p, hint)
	}
}

// Tick repeats open questions and answers askers. It is called at least every 100 ms.
func (c *Confirmer) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick(now)
}

func (c *Confirmer) tick(now time.Time) {
	c.answerAskers(now)
	c.close(now)
	q := &c.question
	if q.revision == 0 || now.Before(q.next) {
		return
	}
	ask := &seamrulewire.Datagram{Ask: &seamrulewire.Ask{Revision: q.revision, Attempt: q.attempt}}
	own, coordinates := c.cells.OwnCell()
	for _, ref := range c.cells.Cells() {
		here := coordinates && ref.ID == own.Cell
		if !here && !ref.Coordinator.Zero() && c.heard[ref.ID].Confirmed < q.revision {
			c.asked.Inc()
			c.send(ref.Coordinator, ask)
		}
	}
	q.attempt++
	q.next = now.Add(q.wait)
	q.wait = min(2*q.wait, longestWait)
}

// close ends questions whose revision was accepted or that were asked for too long.
func (c *Confirmer) close(now time.Time) {
	c.hearOwn()
	if len(c.opened) == 0 {
		return
	}
	lowest := c.lowest()
	for revision, since := range c.opened {
		accepted := revision <= lowest
		if accepted {
			c.delay.Update(now.Sub(since).Seconds())
			c.sink.Emit(now, seamevent.RuleAccepted, seamevent.Fields{"revision": revision, "after": now.Sub(since).String()})
		}
		if accepted || now.Sub(since) > askTime {
			delete(c.opened, revision)
			c.wake()
		}
	}
	if len(c.opened) == 0 {
		c.question = question{}
	}
}

// lowest returns the highest revision that every cell has confirmed, or unconfirmed.
func (c *Confirmer) lowest() int64 {
	cells := c.cells.Cells()
	if len(cells) == 0 {
		return unconfirmed
	}
	lowest := int64(math.MaxInt64)
	for _, ref := range cells {
		lowest = min(lowest, c.heard[ref.ID].Confirmed)
	}
	return lowest
}

// unconfirmed is lower than any revision.
const unconfirmed = -1

func (c *Confirmer) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Confirmer) send(to seampeer.Peer, d *seamrulewire.Datagram) {
	payload, err := proto.Marshal(d)
	if err != nil {
		return
	}
	// A datagram that cannot be sent counts as lost; the question is repeated.
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
	c.behind(now, from, a.GetRevision())
	c.mu.Lock()
	defer c.mu.Unlock()
	own, coordinates := c.cells.OwnCell()
	if !coordinates {
		return
	}
	if own.Confirmed >= a.GetRevision() || a.GetAttempt() > 0 {
		c.answer(from, own)
	}
	if own.Confirmed < a.GetRevision() {
		c.remember(asker{peer: from, revision: a.GetRevision(), until: now.Add(askerTime)})
	}
}

// remember keeps one entry per asking node, and the latest nodes only.
func (c *Confirmer) remember(a asker) {
	c.askers = slices.DeleteFunc(c.askers, func(o asker) bool { return o.peer.Same(a.peer) })
	if len(c.askers) == askerLimit {
		c.askers = slices.Delete(c.askers, 0, 1)
	}
	c.askers = append(c.askers, a)
}

// answerAskers answers those whose revision this node's cell has confirmed by now.
func (c *Confirmer) answerAskers(now time.Time) {
	if len(c.askers) == 0 {
		return
	}
	own, coordinates := c.cells.OwnCell()
	c.askers = slices.DeleteFunc(c.askers, func(a asker) bool {
		if coordinates && own.Confirmed >= a.revision {
			c.answer(a.peer, own)
			return true
		}
		return now.After(a.until)
	})
}

func (c *Confirmer) answer(to seampeer.Peer, own CellState) {
	c.answered.Inc()
	c.send(to, &seamrulewire.Datagram{Answer: &seamrulewire.Answer{
		Cell:      own.Cell,
		Epoch:     own.Epoch,
		Confirmed: own.Confirmed,
	}})
}

func (c *Confirmer) receiveAnswer(now time.Time, a *seamrulewire.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hear(CellState{
		Cell:      a.GetCell(),
		Epoch:     a.GetEpoch(),
		Confirmed: a.GetConfirmed(),
	})
	c.close(now)
}

func (c *Confirmer) hearOwn() {
	if own, coordinates := c.cells.OwnCell(); coordinates {
		c.hear(own)
	}
}

// hear keeps the latest state of each cell. The epoch and the revision only rise, so a
// late datagram takes nothing back.
func (c *Confirmer) hear(s CellState) {
	old := c.heard[s.Cell]
	latest := s
	if s.Epoch < old.Epoch {
		latest = old
	}
	latest.Confirmed = max(old.Confirmed, s.Confirmed)
	c.heard[s.Cell] = latest
	if s.Confirmed > old.Confirmed {
		c.wake()
	}
}

// Status returns what is known about the revision.
func (c *Confirmer) Status(revision int64) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hearOwn()
	return c.status(revision)
}

func (c *Confirmer) status(revision int64) Status {
	s := Status{Revision: revision, Accepted: true}
	for _, ref := range c.cells.Cells() {
		h := c.heard[ref.ID]
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

// Wait returns the status of the revision once more than the known number of cells have
// confirmed it, once all have, or when ctx ends. It asks nobody: see Ask.
func (c *Confirmer) Wait(ctx context.Context, revision int64, known int) Status {
	for {
		c.mu.Lock()
		c.hearOwn()
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
