package seamcell

import (
	"sort"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// Cell is the state machine of one node. It is not safe for concurrent use.
type Cell struct {
	cfg    Config
	self   seampeer.Peer
	placer Placer

	now     seamclock.Instant
	actions []Action

	directory directory
	calls     calls
	services  map[string]ServiceState
	seeds     []seampeer.Peer
	// admissionRequests holds the requests of the latest incarnations that asked for admission, by
	// name.
	admissionRequests map[string]admissionRequest
	attestations      map[recordParties]seamclock.Instant

	target TargetState
	// targetVersion numbers the descriptions of the target that this node sends to the coordinator.
	targetVersion uint32
	// appliedRules is the revision of the rules in force at this node.
	appliedRules int64
	draining     bool
	drained      bool

	joining      joining
	member       *member
	backup       *backupState
	coordination *coordination
	resignation  *resignation
	// abandonedChecked is when this node last searched for abandoned cells.
	abandonedChecked seamclock.Instant
}

// admissionRequest holds a node that asked for admission, and the time of its first request.
type admissionRequest struct {
	peer  seampeer.Peer
	since seamclock.Instant
	// cell is the cell of its last request.
	cell string
}

// New returns the state machine of a node that belongs to no cell yet. A nil placer distributes
// slots evenly.
func New(cfg Config, self seampeer.Peer, placer Placer) *Cell {
	if placer == nil {
		placer = EvenPlacer{}
	}
	return &Cell{
		cfg:               cfg,
		self:              self,
		placer:            placer,
		directory:         newDirectory(),
		calls:             calls{pending: map[string]*call{}},
		services:          map[string]ServiceState{},
		admissionRequests: map[string]admissionRequest{},
		attestations:      map[recordParties]seamclock.Instant{},
		joining:           joining{refusedUntil: map[string]seamclock.Instant{}},
	}
}

// step handles one event and returns the resulting actions.
func (c *Cell) step(now seamclock.Instant, f func()) []Action {
	c.now = now
	f()
	c.advance()
	actions := c.actions
	c.actions = nil
	return actions
}

// advance runs the transitions that the event has made possible.
func (c *Cell) advance() {
	if c.coordination != nil {
		c.advanceCoordination()
	}
	if c.member != nil {
		c.reconcile()
	}
}

func (c *Cell) addAction(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Cell) emit(name string, fields seamevent.Fields) {
	c.addAction(Emit{Name: name, Fields: fields})
}

// send sends a message about a cell. A message to this node itself is delivered immediately.
func (c *Cell) send(to seampeer.Peer, m *seamcellwire.Message) {
	m.Name = c.self.Name
	m.Incarnation = c.self.Incarnation
	m.To = uint32(to.Incarnation)
	if m.GetRenew().GetPeer() != nil {
		// Any process at the address may receive a request for admission.
		m.To = 0
	}
	if to.Same(c.self) {
		c.deliver(m)
		return
	}
	if to.Address == "" {
		return
	}
	c.addAction(Send{To: to, Message: m})
}

// UpdateRecords adds records from a watch, a list or a peer to the directory. Updates may be partial;
// an entry is used only if its revision is higher than the known one.
func (c *Cell) UpdateRecords(now seamclock.Instant, entries []Entry) []Action {
	return c.step(now, func() {
		c.directory.loaded = true
		for _, e := range entries {
			c.observe(e)
			c.directory.revision = max(c.directory.revision, e.Revision)
		}
	})
}

// SetSeeds sets the nodes that may be asked for a cell while the directory is empty. Only their
// addresses are required.
func (c *Cell) SetSeeds(now seamclock.Instant, peers []seampeer.Peer) []Action {
	return c.step(now, func() { c.seeds = peers })
}

// Receive handles a datagram. It ignores messages addressed to another incarnation of this node.
func (c *Cell) Receive(now seamclock.Instant, m *seamcellwire.Message) []Action {
	return c.step(now, func() {
		if m.GetTo() == 0 || m.GetTo() == uint32(c.self.Incarnation) {
			c.deliver(m)
		}
	})
}

func (c *Cell) deliver(m *seamcellwire.Message) {
	switch b := m.GetBody().(type) {
	case *seamcellwire.Message_Renew:
		c.onRenew(m, b.Renew)
	case *seamcellwire.Message_Refuse:
		c.onRefuse(m, b.Refuse)
	case *seamcellwire.Message_Answer:
		c.onAnswer(m, b.Answer)
	case *seamcellwire.Message_Beat:
		c.onBeat(m, b.Beat)
	case *seamcellwire.Message_Promise:
		c.onPromise(m, b.Promise)
	case *seamcellwire.Message_Resign:
		c.onResign(m, b.Resign)
	case *seamcellwire.Message_Report:
		c.onReport(m, b.Report)
	case *seamcellwire.Message_Load:
		c.onLoad(m, b.Load)
	case *seamcellwire.Message_Offer:
		c.onOffer(m, b.Offer)
	case *seamcellwire.Message_Accept:
		c.onAccept(m, b.Accept)
	}
}

// Tick handles timeouts. It is called about every 50 ms.
func (c *Cell) Tick(now seamclock.Instant) []Action {
	return c.step(now, func() {
		c.retryCalls()
		if c.coordination != nil {
			c.tickCoordination()
		}
		if c.backup != nil {
			c.tickBackup()
		}
		if c.resignation != nil {
			c.tickResignation()
		}
		if c.member != nil {
			c.tickMember()
		}
		if c.member == nil && !c.drained {
			c.tickJoining()
		}
		c.tickAbandoned()
	})
}

// StoreCompleted handles the result of a CompareAndSwap, Read or Remove.
func (c *Cell) StoreCompleted(now seamclock.Instant, r StoreResult) []Action {
	return c.step(now, func() { c.stored(r) })
}

// UpdateTarget sets the current state of the local target, or the zero value if the target was
// lost.
func (c *Cell) UpdateTarget(now seamclock.Instant, t TargetState) []Action {
	return c.step(now, func() { c.setTarget(t) })
}

// UpdateService sets the definition of a keyed service from the rules. A definition with no slots
// removes the service.
func (c *Cell) UpdateService(now seamclock.Instant, s ServiceState) []Action {
	return c.step(now, func() {
		if s.Slots == 0 {
			delete(c.services, s.Name)
			return
		}
		c.services[s.Name] = s
	})
}

// RulesApplied sets the revision of the rules that is in force at this node. Lower revisions than
// before are ignored.
func (c *Cell) RulesApplied(now seamclock.Instant, revision int64) []Action {
	return c.step(now, func() { c.appliedRules = max(c.appliedRules, revision) })
}

// SlotReleased reports that the local target has handed the slot over after a graceful StopServing.
func (c *Cell) SlotReleased(now seamclock.Instant, id seamslot.ID) []Action {
	return c.step(now, func() {
		if c.member != nil {
			c.release(id)
		}
	})
}

// HandoverFailed reports that the local target could not hand the slot over after a graceful
// StopServing and still has its state. The node is granted the slot again under a new epoch.
func (c *Cell) HandoverFailed(now seamclock.Instant, id seamslot.ID) []Action {
	return c.step(now, func() {
		if c.member != nil {
			c.releaseRetained(id)
		}
	})
}

// Drain starts the planned shutdown of this node. Drained reports its completion.
func (c *Cell) Drain(now seamclock.Instant) []Action {
	return c.step(now, func() {
		c.draining = true
		if c.member == nil && c.resignation == nil {
			c.drained = true
		}
	})
}

// Attest records an operator's confirmation that the named instances have ended for good. It has an
// effect only if they include the coordinator and the backup of the cell.
func (c *Cell) Attest(now seamclock.Instant, cell string, lost []string) []Action {
	return c.step(now, func() { c.attest(cell, lost) })
}

// Drained reports whether a planned shutdown is complete and the process may exit.
func (c *Cell) Drained() bool { return c.drained }

// Records returns the known records, sorted by key. The slice is shared and is never modified;
// later changes create a new one.
func (c *Cell) Records() []Entry {
	return c.directory.sorted()
}

// sortedKeys returns the keys of m, sorted.
func sortedKeys[K string | uint32 | uint64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// sortedSlots returns the keys of m, sorted by service and index.
func sortedSlots[V any](m map[seamslot.ID]V) []seamslot.ID {
	ids := make([]seamslot.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return slotLess(ids[i], ids[j]) })
	return ids
}

func slotLess(a, b seamslot.ID) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Index < b.Index
}

// earlier returns the instant that has passed as soon as a or b has.
func earlier(a, b seamclock.Instant) seamclock.Instant {
	return seamclock.Instant{Mono: min(a.Mono, b.Mono), Wall: min(a.Wall, b.Wall)}
}

// later returns the instant that has passed only if both a and b have.
func later(a, b seamclock.Instant) seamclock.Instant {
	return seamclock.Instant{Mono: max(a.Mono, b.Mono), Wall: max(a.Wall, b.Wall)}
}
