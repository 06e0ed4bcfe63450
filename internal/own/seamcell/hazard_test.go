package seamcell_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// TestOwnershipHazards causes, one by one, the situations in which two nodes could hold the same
// slot. The simulation checks at each event that they do not.
func TestOwnershipHazards(t *testing.T) {
	t.Parallel()
	hazards := []struct {
		name  string
		nodes int
		cause func(t *testing.T, w *simulation)
	}{
		{"an answer to a heartbeat arrives late", 4, func(_ *testing.T, w *simulation) {
			b, c := w.backup().peer.Name, w.coordinator().peer.Name
			w.store.unreachable[c], w.store.loseResponses[c] = true, true
			cut := w.now + 200*time.Millisecond
			w.filter = func(from, to string, m *seamcellwire.Message) time.Duration {
				if m.GetPromise() != nil && to == c {
					return 950 * time.Millisecond
				}
				if (from == c && to == b || to == c) && w.now > cut {
					return -1
				}
				return 0
			}
		}},
		{"old answers to heartbeats are replayed", 4, func(_ *testing.T, w *simulation) {
			bn, cn := w.backup(), w.coordinator()
			b, c := bn.peer.Name, cn.peer.Name
			w.store.unreachable[c], w.store.loseResponses[c] = true, true
			cut := w.now + 200*time.Millisecond
			var old *seamcellwire.Message
			w.filter = func(from, to string, m *seamcellwire.Message) time.Duration {
				if m.GetPromise() != nil {
					old = m
				}
				if (from == c && to == b || to == c) && w.now > cut {
					return -1
				}
				return 0
			}
			for i := range 30 {
				w.schedule(time.Duration(i)*100*time.Millisecond, func() {
					if old != nil && cn.alive {
						cn.act(func(now seamclock.Instant) []seamcell.Action { return cn.cell.Receive(now, old) })
					}
				})
			}
		}},
		{"a takeover takes effect after heartbeats have resumed", 3, func(_ *testing.T, w *simulation) {
			b, c := w.backup(), w.coordinator()
			w.store.unreachable[c.peer.Name], w.store.loseResponses[c.peer.Name] = true, true
			w.store.slow[b.peer.Name] = 600 * time.Millisecond
			w.block(c, b, 1350*time.Millisecond)
			cut := w.now + 1700*time.Millisecond
			w.filter = func(_, to string, _ *seamcellwire.Message) time.Duration {
				if to == c.peer.Name && w.now > cut {
					return -1
				}
				return 0
			}
		}},
		{"an old release is replayed", 3, func(_ *testing.T, w *simulation) {
			c := w.coordinator()
			var old []*seamcellwire.Message
			w.filter = func(_, _ string, m *seamcellwire.Message) time.Duration {
				if len(m.GetRenew().GetReleased()) > 0 {
					old = append(old, m)
				}
				return 0
			}
			w.start(3, "n3")
			w.schedule(2*time.Second, func() { w.nodes[3].crash() })
			for i := range 60 {
				w.schedule(time.Duration(i)*100*time.Millisecond, func() {
					for _, m := range old {
						c.act(func(now seamclock.Instant) []seamcell.Action { return c.cell.Receive(now, m) })
					}
				})
			}
		}},
		{"the coordinator resigns while a member cannot reach its successor", 3, func(t *testing.T, w *simulation) {
			b, c, m := w.backup(), w.coordinator(), w.member(t)
			w.filter = func(from, to string, _ *seamcellwire.Message) time.Duration {
				if from == m.peer.Name && to == b.peer.Name || from == b.peer.Name && to == m.peer.Name {
					return -1
				}
				return 0
			}
			c.act(c.cell.Drain)
		}},
		{"the coordinator is paused right after a write", 4, func(_ *testing.T, w *simulation) {
			b := w.backup()
			w.coordinator().crash()
			w.schedule(1300*time.Millisecond, func() {
				b.pause(true)
				w.schedule(3*time.Second, b.resume)
			})
		}},
		{"all nodes are paused at the same time", 4, func(_ *testing.T, w *simulation) {
			for i, n := range w.nodes {
				n.pause(i%2 == 0)
				w.schedule(time.Duration(2+i)*time.Second, n.resume)
			}
		}},
		{"coordinator and backup race for the record", 4, func(_ *testing.T, w *simulation) {
			b, c := w.backup(), w.coordinator()
			w.store.slow[c.peer.Name] = 500 * time.Millisecond
			w.block(b, c, 3*time.Second)
			w.block(c, b, 3*time.Second)
		}},
		{"store responses are lost for a long time", 4, loseWriteResponses},
		{"store responses are lost for a long time in a cell of two nodes", 2, loseWriteResponses},
		{"the handovers of a member never finish", 4, func(t *testing.T, w *simulation) {
			m := w.member(t)
			m.hangHandovers = true
			m.act(m.cell.Drain)
		}},
	}
	for _, x := range hazards {
		t.Run(x.name, func(t *testing.T) {
			for seed := range int64(10) {
				w := settledSimulation(t, x.nodes, seed)
				x.cause(t, w)
				w.run(6 * time.Second)
				w.filter = nil
				clear(w.store.unreachable)
				clear(w.store.loseResponses)
				clear(w.store.slow)
				w.require(t, true, "")
				w.runUntilHeld(5 * time.Second)
				w.require(t, w.held() == slotCount, "%d slots held at the end (seed %d)", w.held(), seed)
			}
		})
	}
}

// loseWriteResponses ends the coordinator while no node receives responses to its writes.
func loseWriteResponses(_ *testing.T, w *simulation) {
	for _, n := range w.nodes {
		w.store.loseResponses[n.peer.Name] = true
	}
	w.coordinator().crash()
	w.schedule(4*time.Second, func() { clear(w.store.loseResponses) })
}

// TestLostResponseToBackupChange lets the write of a new backup take effect although the writer
// receives no response. The new backup counts from when it learns of the record, while the old one
// still answers heartbeats.
func TestLostResponseToBackupChange(t *testing.T) {
	for _, alone := range []bool{true, false} {
		t.Run(fmt.Sprintf("alone %t", alone), func(t *testing.T) {
			for seed := range int64(10) {
				loseBackupWriteResponse(t, seed, alone)
			}
		})
	}
}

func loseBackupWriteResponse(t *testing.T, seed int64, alone bool) {
	w := newSimulation(t, seed, 1)
	if !alone {
		w.startIn("n2", "erie-0")
	}
	w.run(8 * time.Second)
	c := w.coordinator()
	w.require(t, w.held() == slotCount && alone == (w.backup() == nil), "not all slots are held, or the backup is not as expected")
	w.store.loseResponses[c.peer.Name] = true
	w.startIn("n1", "erie-1")
	x := w.nodes[len(w.nodes)-1]
	w.run(2500 * time.Millisecond)
	e := w.store.entries["seam/own/cell/erie-1"]
	w.require(t, e.Record.Backup.Same(x.peer) || e.Record.Coordinator.Same(x.peer), "the record names %s as backup", e.Record.Backup)
	x.act(func(now seamclock.Instant) []seamcell.Action { return x.cell.UpdateRecords(now, []seamcell.Entry{e}) })
	w.filter = func(_, to string, m *seamcellwire.Message) time.Duration {
		if to == c.peer.Name && m.GetPromise() == nil {
			return -1
		}
		return 0
	}
	w.run(4 * time.Second)
	w.require(t, true, "")
	w.filter = nil
	clear(w.store.loseResponses)
	w.runUntilHeld(5 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held at the end", w.held())
}

// TestLeaseRequiresTableVersion gives a member a lease that requires table changes which have not
// arrived.
func TestLeaseRequiresTableVersion(t *testing.T) {
	id := seamslot.ID{Service: service}
	leader := seampeer.Peer{Name: "c", Incarnation: 7, Address: "10.0.0.1:1", Region: "erie", Domain: "erie-0"}
	self := seampeer.Peer{Name: "m", Incarnation: 8, Address: "10.0.0.2:1", Region: "erie", Domain: "erie-1"}
	cell := seamcell.New(simulationConfig(), self, nil)
	now := seamclock.Instant{Mono: time.Second, Wall: time.Hour}
	cell.UpdateTarget(now, seamcell.TargetState{Service: service, Name: "r", Address: "10.1.0.2:1", Concurrency: 1})
	cell.UpdateRecords(now, []seamcell.Entry{{Key: "seam/own/cell/erie-1", Revision: 1, Record: seamcell.Record{
		ID: "erie-1", Region: "erie", Epoch: 1, Coordinator: leader, TTLMillis: 60_000,
	}}})
	sequence := uint64(0)
	for _, a := range cell.Tick(now) {
		if s, ok := a.(seamcell.Send); ok {
			sequence = s.Message.GetRenew().GetSequence()
		}
	}
	answer := func(a *seamcellwire.Answer) {
		a.Id, a.Epoch = 2, 1
		cell.Receive(now, &seamcellwire.Message{
			Name: leader.Name, Incarnation: leader.Incarnation, Cell: "erie-1", Term: 2,
			Body: &seamcellwire.Message_Answer{Answer: a},
		})
	}
	answer(&seamcellwire.Answer{
		Sequence: sequence, Life: 1000, Need: 9, From: 0, To: 5,
		Slots: []*seamcellwire.Slot{{Service: service, Token: 5, Owner: 2, Stamp: 5}},
	})
	if _, ok := cell.Grant(now, id); ok {
		t.Fatal("slot is held before the table has the version that the lease requires")
	}
	answer(&seamcellwire.Answer{From: 5, To: 9, Slots: []*seamcellwire.Slot{{Service: service, Token: 6, Owner: 1, Stamp: 9}}})
	if _, ok := cell.Grant(now, id); ok {
		t.Fatal("slot of another member is held")
	}
	if _, ok := cell.Lease(now); !ok {
		t.Fatal("lease is not valid although the table has the required version")
	}
	answer(&seamcellwire.Answer{From: 9, To: 10, Slots: []*seamcellwire.Slot{{Service: service, Token: 7, Owner: 2, Stamp: 10}}})
	if g, ok := cell.Grant(now, id); !ok || g.Epoch != 7 {
		t.Fatalf("slot is held %t under epoch %d, want 7", ok, g.Epoch)
	}
	if _, ok := cell.Grant(now.Add(time.Second), id); ok {
		t.Fatal("slot is held after the lease has expired")
	}
}

// TestNodeJoinsThroughSeedWithoutStore starts a node that knows a member's address and cannot read
// the store.
func TestNodeJoinsThroughSeedWithoutStore(t *testing.T) {
	w := settledSimulation(t, 3, 1)
	w.store.down = true
	w.start(3, "n3")
	n := w.nodes[3]
	n.act(func(now seamclock.Instant) []seamcell.Action {
		return n.cell.SetSeeds(now, []seampeer.Peer{{Address: w.nodes[0].peer.Address}})
	})
	w.run(4 * time.Second)
	w.require(t, n.cell.View(n.clock()).Role == seamcell.RoleMember, "node that joined late has role %s", n.cell.View(n.clock()).Role)
}

// TestUnfencedTargetDelaysReassignment loses a server that does not check epochs.
func TestUnfencedTargetDelaysReassignment(t *testing.T) {
	const deadline = time.Second
	w := settledSimulation(t, 6, 1)
	for _, n := range w.nodes {
		n.act(func(now seamclock.Instant) []seamcell.Action {
			return n.cell.UpdateService(now, seamcell.ServiceState{Name: service, Slots: slotCount, MaxDeadline: deadline})
		})
	}
	m := w.member(t)
	m.target.Fence = false
	m.announce()
	w.run(time.Second)
	lease, _ := m.cell.Lease(m.clock())
	left := -seamclock.MaxElapsed(m.clock(), lease)
	m.crash()
	w.run(left + deadline)
	w.require(t, w.held() < slotCount, "slots of a server that does not check epochs were granted too early")
	d := w.runUntilHeld(recoveryLimit)
	w.require(t, w.held() == slotCount, "%d slots held after %v", w.held(), left+deadline+d)
}

// TestUnresponsiveTargetKeepsSlotsUntilLeaseEnds checks that the slots of a target that no longer
// announces itself go to no other server while the target may still assume that it owns them.
func TestUnresponsiveTargetKeepsSlotsUntilLeaseEnds(t *testing.T) {
	for seed := range int64(5) {
		w := settledSimulation(t, 4, seed)
		n := w.member(t)
		had := heldBy(n)
		until, _ := n.cell.Lease(n.clock())
		n.target = seamcell.TargetState{}
		n.announce()
		for seamclock.MinElapsed(n.clock(), until) < 0 {
			for _, x := range w.nodes {
				for id, held := range heldBy(x) {
					w.require(t, !held || !had[id], "%s holds %s before the lease of the unresponsive target ends", x.peer, id)
				}
			}
			w.run(5 * time.Millisecond)
		}
		d := w.runUntilHeld(recoveryLimit)
		w.require(t, w.held() == slotCount, "%d of %d slots held %v after the lease", w.held(), slotCount, d)
	}
}
