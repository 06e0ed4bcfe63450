package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
)

// Cell is the state machine of one node. It is not safe for concurrent use.
type Cell struct {
	cfg    Config
	self   seampeer.Peer
	placer Placer
}

// New returns the state machine of a node that belongs to no cell yet.
// A nil placer spreads slots evenly.
func New(cfg Config, self seampeer.Peer, placer Placer) *Cell {
	return &Cell{cfg: cfg, self: self, placer: placer}
}

// Directory takes records of the store, from a watch, a list or a peer. Updates may be
// partial; an entry counts only if its revision is higher than the known one.
func (c *Cell) Directory(now seamclock.Instant, entries []Entry) []Action { return nil }

// Seeds names nodes that may be asked for a cell while the directory is empty.
// Only their addresses need to be set.
func (c *Cell) Seeds(now seamclock.Instant, peers []seampeer.Peer) []Action { return nil }

// Receive takes a datagram. Messages to another incarnation of this node are harmless.
func (c *Cell) Receive(now seamclock.Instant, m *seamcellwire.Message) []Action { return nil }

// Tick acts on the passing of time. It is called about every 50 ms.
func (c *Cell) Tick(now seamclock.Instant) []Action { return nil }

// Stored takes the result of a Swap, Read or Remove.
func (c *Cell) Stored(now seamclock.Instant, r StoreResult) []Action { return nil }

// Target takes the present state of the own target; the zero value if it was lost.
func (c *Cell) Target(now seamclock.Instant, t TargetState) []Action { return nil }

// Service takes a keyed service from the rules.
func (c *Cell) Service(now seamclock.Instant, s ServiceState) []Action { return nil }

// Applied takes the revision of the rules that this node has in force.
func (c *Cell) Applied(now seamclock.Instant, revision int64) []Action { return nil }

// Released says that the own target has handed the slot over after a graceful StopServing.
func (c *Cell) Released(now seamclock.Instant, id seamslot.ID) []Action { return nil }

// Drain begins the planned stop of this node. Drained reports its end.
func (c *Cell) Drain(now seamclock.Instant) []Action { return nil }

// Attest takes an operator's word that the named instances have ended for good, among them
// the coordinator and the backup of the cell.
func (c *Cell) Attest(now seamclock.Instant, cell string, lost []string) []Action { return nil }

// Drained reports whether a planned stop is complete and the process may end.
func (c *Cell) Drained() bool { return false }

// Held returns the grant of a slot that this node's server may serve now.
func (c *Cell) Held(now seamclock.Instant, id seamslot.ID) (seamgrant.Grant, bool) {
	return seamgrant.Grant{}, false
}

// Lease returns the end of this node's lease, and whether it is running.
func (c *Cell) Lease(now seamclock.Instant) (seamclock.Instant, bool) {
	return seamclock.Instant{}, false
}

// Owner returns the owner of a slot of the own cell, or a zero peer.
func (c *Cell) Owner(id seamslot.ID) seampeer.Peer { return seampeer.Peer{} }

// View returns what this node knows of its cell.
func (c *Cell) View(now seamclock.Instant) View { return View{} }

// Records returns the known records, in order of their keys.
func (c *Cell) Records() []Entry { return nil }
