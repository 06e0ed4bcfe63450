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
	// arrivals are the latest incarnations that have asked for admission, by name.
	arrivals map[string]arrival
	attests  map[parties]seamclock.Instant

	target TargetState
	// announced is the version of the target's description.
	announced uint32
	applied   int64
	draining  bool
	drained   bool

	joining      joining
	member       *member
	watch        *watch
	coordination *coordination
	resignation  *resignation
	// looked is when abandoned cells were last looked for.
	looked seamclock.Instant
}

// arrival is a node that asked for admission, and when it first did.
type arrival struct {
	peer  seampeer.Peer
	since seamclock.Instant
	// cell is the one that it asked for last.
	cell string
}

// New returns the state machine of a node that belongs to no cell yet.
// A nil placer spreads slots evenly.
func New(cfg Config, self seampeer.Peer, placer Placer) *Cell {
	if placer == nil {
		placer = EvenPlacer{}
	}
	return &Cell{
		cfg:       cfg,
		self:      self,
		placer:    placer,
		directory: newDirectory(),
		calls:     calls{pending: map[string]*call{}},
		services:  map[string]ServiceState{},
		arrivals:  map[string]arrival{},
		attests:   map[parties]seamclock.Instant{},
		joining:   joining{refused: map[string]seamclock.Instant{}},
	}
}

// step runs one event and returns the actions that it caused.
func (c *Cell) step(now seamclock.Instant, f func()) []Action {
	c.now = now
	f()
	c.advance()
	actions := c.actions
	c.actions = nil
	return actions
}

// advance does what has become possible through an event.
func (c *Cell) advance() {
	if c.coordination != nil {
		c.advanceCoordination()
	}
	if c.member != nil {
		c.reconcile()
	}
}

func (c *Cell) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Cell) emit(name string, fields seamevent.Fields) {
	c.do(Emit{Name: name, Fields: fields})
}

// send sends a message about a cell; a message to this node itself is delivered at once.
func (c *Cell) send(to seampeer.Peer, m *seamcellwire.Message) {
	m.Name = c.self.Name
	m.Incarnation = c.self.Incarnation
	m.To = uint32(to.Incarnation)
	if m.GetRenew().GetPeer() != nil {
		// Whoever stands on the address may learn who asks for admission.
		m.To = 0
	}
	if to.Same(c.self) {
		c.deliver(m)
		return
	}
	if to.Address == "" {
		return
	}
	c.do(Send{To: to, Message: m})
}

// Directory takes records of the store, from a watch, a list or a peer. Updates may be
// partial; an entry counts only if its revision is higher than the known one.
func (c *Cell) UpdateRecords(now seamclock.Instant, entries []Entry) []Action {
	return c.step(now, func() {
		c.directory.loaded = true
		for _, e := range entries {
			c.learn(e)
			c.directory.revision = max(c.directory.revision, e.Revision)
		}
	})
}

// Seeds names nodes that may be asked for a cell while the directory is empty.
// Only their addresses need to be set.
func (c *Cell) SetSeeds(now seamclock.Instant, peers []seampeer.Peer) []Action {
	return c.step(now, func() { c.seeds = peers })
}

// Receive takes a datagram. It ignores messages to another incarnation of this node.
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

// Tick acts on the passing of time. It is called about every 50 ms.
func (c *Cell) Tick(now seamclock.Instant) []Action {
	return c.step(now, func() {
		c.retryCalls()
		if c.coordination != nil {
			c.tickCoordination()
		}
		if c.watch != nil {
			c.tickWatch()
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

// Stored takes the result of a Swap, Read or Remove.
func (c *Cell) StoreCompleted(now seamclock.Instant, r StoreResult) []Action {
	return c.step(now, func() { c.stored(r) })
}

// Target takes the present state of the own target; the zero value if it was lost.
func (c *Cell) UpdateTarget(now seamclock.Instant, t TargetState) []Action {
	return c.step(now, func() { c.setTarget(t) })
}

// Service takes a keyed service from the rules.
func (c *Cell) UpdateService(now seamclock.Instant, s ServiceState) []Action {
	return c.step(now, func() {
		if s.Slots == 0 {
			delete(c.services, s.Name)
			return
		}
		c.services[s.Name] = s
	})
}

// Applied takes the revision of the rules that this node has in force.
func (c *Cell) RulesApplied(now seamclock.Instant, revision int64) []Action {
	return c.step(now, func() { c.applied = max(c.applied, revision) })
}

// Released says that the own target has handed the slot over after a graceful StopServing.
func (c *Cell) SlotReleased(now seamclock.Instant, id seamslot.ID) []Action {
	return c.step(now, func() {
		if c.member != nil {
			c.release(id)
		}
	})
}

// Kept says that the own target could not hand the slot over after a graceful StopServing,
// and still has its state. The slot comes back under a new epoch.
func (c *Cell) HandoverFailed(now seamclock.Instant, id seamslot.ID) []Action {
	return c.step(now, func() {
		if c.member != nil {
			c.releaseKept(id)
		}
	})
}

// Drain begins the planned stop of this node. Drained reports its end.
func (c *Cell) Drain(now seamclock.Instant) []Action {
	return c.step(now, func() {
		c.draining = true
		if c.member == nil && c.resignation == nil {
			c.drained = true
		}
	})
}

// Attest takes an operator's word that the named instances have ended for good, among them
// the coordinator and the backup of the cell. It has no effect if they are not.
func (c *Cell) Attest(now seamclock.Instant, cell string, lost []string) []Action {
	return c.step(now, func() { c.attest(cell, lost) })
}

// Drained reports whether a planned stop is complete and the process may end.
func (c *Cell) Drained() bool { return c.drained }

// Records returns the known records, in order of their keys. The slice is shared and never
// changes; later changes make a new one.
func (c *Cell) Records() []Entry {
	return c.directory.sorted()
}

// sortedKeys returns the keys of m in order.
func sortedKeys[K string | uint32 | uint64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// sortedSlots returns the keys of m in order of service and index.
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

// earlier returns the instant that is over as soon as a or b is.
func earlier(a, b seamclock.Instant) seamclock.Instant {
	return seamclock.Instant{Mono: min(a.Mono, b.Mono), Wall: min(a.Wall, b.Wall)}
}

// later returns the instant that is over only if a and b are.
func later(a, b seamclock.Instant) seamclock.Instant {
	return seamclock.Instant{Mono: max(a.Mono, b.Mono), Wall: max(a.Wall, b.Wall)}
}
