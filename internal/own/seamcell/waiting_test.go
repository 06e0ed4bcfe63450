package seamcell_test

import (
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamslot"
)

// singleServer returns a simulation of two regions, and the only node with a target in the region erie.
// The node has the given role in its cell, and holdsState says whether its target holds state.
func singleServer(t *testing.T, seed int64, cfg seamcell.Config, role seamcell.Role, holdsState bool) (*simulation, *node) {
	t.Helper()
	w := newSimulationOf(t, seed, 8, cfg, []string{"erie", "michigan"})
	w.run(10 * time.Second)
	var only *node
	for _, n := range w.nodes {
		if n.peer.Region == "erie" && (only == nil || n.cell.View(n.clock()).Role == role && only.cell.View(only.clock()).Role != role) {
			only = n
		}
	}
	w.require(t, only.cell.View(only.clock()).Role == role, "no %s in erie", role)
	only.target.Standby = holdsState
	for _, n := range w.nodes {
		if n.peer.Region == "erie" && n != only {
			n.target.Service = ""
		}
		n.announce()
	}
	w.run(3 * time.Second)
	w.runUntilHeld(20 * time.Second)
	w.require(t, w.held() == slotCount && heldCount(only) > 0, "%s holds no slots", only.peer)
	return w, only
}

func heldCount(n *node) int {
	count := 0
	for _, held := range heldBy(n) {
		if held {
			count++
		}
	}
	return count
}

// isolate disconnects the node from all other nodes and from the store.
func (w *simulation) isolate(n *node, duration time.Duration) {
	for _, x := range w.nodes {
		w.block(n, x, duration)
		w.block(x, n, duration)
	}
	w.store.unreachable[n.peer.Name], w.store.loseResponses[n.peer.Name] = true, true
	w.schedule(duration, func() { delete(w.store.unreachable, n.peer.Name); delete(w.store.loseResponses, n.peer.Name) })
}

// TestUnresponsiveHolderKeepsItsSlots checks that the slots of the only server that has their state go
// to no other server while its node is disconnected for less than Config.ReturnTimeout, even if the
// coordinator changes meanwhile.
func TestUnresponsiveHolderKeepsItsSlots(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		role seamcell.Role
		lose bool
	}{
		{"member", seamcell.RoleMember, false},
		{"coordinator", seamcell.RoleCoordinator, false},
		{"member, and the coordinator is lost", seamcell.RoleMember, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			const outage = 4200 * time.Millisecond
			cfg := simulationConfig()
			cfg.ReturnTimeout = seamcell.DefaultConfig().ReturnTimeout
			for seed := range int64(8) {
				w, only := singleServer(t, seed, cfg, x.role, true)
				heldBefore := heldBy(only)
				w.isolate(only, outage)
				end := w.now + outage + 2*recoveryLimit
				w.run(2 * time.Second)
				if x.lose {
					w.coordinatorOf(t, "erie").crash()
				}
				for w.now < end && w.violation == "" {
					w.run(10 * time.Millisecond)
					w.requireHolder(t, only, heldBefore)
				}
				w.require(t, heldCount(only) >= countHeld(heldBefore), "%s holds %d of %d slots again (seed %d)", only.peer, heldCount(only), countHeld(heldBefore), seed)
			}
		})
	}
}

func countHeld(held map[seamslot.ID]bool) int {
	n := 0
	for _, isHeld := range held {
		if isHeld {
			n++
		}
	}
	return n
}

// requireHolder fails the test if another node holds one of the slots.
func (w *simulation) requireHolder(t *testing.T, only *node, slots map[seamslot.ID]bool) {
	t.Helper()
	for id, held := range slots {
		if held {
			w.require(t, w.holder[id] == only.name, "%s is held by %s, which lacks its state, at %v", id, w.holder[id], w.now)
		}
	}
}

// coordinatorOf returns the live coordinator of the region's cell.
func (w *simulation) coordinatorOf(t *testing.T, region string) *node {
	t.Helper()
	for _, n := range w.nodes {
		if v := n.cell.View(n.clock()); n.alive && n.peer.Region == region && v.Role == seamcell.RoleCoordinator && !v.AuthorityExpiresAt.Zero() {
			return n
		}
	}
	t.Fatalf("no coordinator in %s", region)
	return nil
}

// TestLostHolderIsReplacedInTime checks how long the slots of a server without a standby are
// unserved after it is lost for good: at most Config.ReturnTimeout longer than for a server that
// cannot hold state, and less if its instance starts again.
func TestLostHolderIsReplacedInTime(t *testing.T) {
	t.Parallel()
	const transferLimit = 6 * time.Second // to another cell: publishing, settle delay, transfer and grants
	cfg := seamcell.DefaultConfig()
	for _, x := range []struct {
		name    string
		holds   bool
		restart time.Duration
		limit   time.Duration
	}{
		{"state, not restarted", true, 0, cfg.ReturnTimeout + transferLimit},
		{"no state, not restarted", false, 0, transferLimit},
		{"state, restarted", true, time.Second, recoveryLimit + time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range int64(8) {
				w, only := singleServer(t, seed, cfg, seamcell.RoleMember, x.holds)
				if x.restart > 0 {
					w.restartAfter(w.index(only), x.restart)
				} else {
					only.crash()
				}
				downtime := w.restored(x.limit + 5*time.Second)
				w.require(t, downtime <= x.limit, "%d of %d slots held after %v (seed %d)", w.held(), slotCount, downtime, seed)
				worst = max(worst, downtime)
			}
			t.Logf("all slots held again after at most %v", worst)
		})
	}
}

// TestOnlyServerHandsOverToOtherRegion checks that a planned shutdown of the only server of a
// region moves its slots to the other region by handover, and that the node does not exit before.
func TestOnlyServerHandsOverToOtherRegion(t *testing.T) {
	for seed := range int64(5) {
		w, only := singleServer(t, seed, simulationConfig(), seamcell.RoleMember, true)
		heldBefore, released := countHeld(heldBy(only)), w.emitted[seamevent.SlotReleased]
		downtime := drain(t, w, only)
		w.require(t, downtime <= 600*time.Millisecond, "slots had no holder for %v", downtime)
		w.require(t, w.emitted[seamevent.SlotReleased]-released >= heldBefore, "%d of %d slots were handed over", w.emitted[seamevent.SlotReleased]-released, heldBefore)
		w.require(t, w.emitted[seamevent.SlotWaiting] == 0, "slots waited for a server that had already handed them over")
	}
}

// TestSlotsReturnToTargetsAfterRestart checks that slots return to the targets that keep running
// beside restarted nodes, and stay with members that were not restarted, even when datagrams are
// lost.
func TestSlotsReturnToTargetsAfterRestart(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name  string
		whole bool
		loss  float64
	}{{"coordinator and backup", false, 0}, {"coordinator and backup, one datagram in ten lost", false, 0.1}, {"whole cell", true, 0}} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range int64(10) {
				w := settledSimulation(t, 6, seed)
				w.targetsOutliveNodes, w.loss = true, x.loss
				ownersBefore := map[seamslot.ID]string{}
				for _, n := range w.nodes {
					for id, held := range heldBy(n) {
						if held {
							ownersBefore[id] = n.peer.Name
						}
					}
				}
				backup, coordinator := w.backup(), w.coordinator()
				for i, n := range w.nodes {
					if x.whole || n == backup || n == coordinator {
						w.restartAfter(i, 200*time.Millisecond)
					}
				}
				w.run(time.Second)
				w.runUntilHeld(5 * time.Second)
				w.require(t, w.held() == slotCount, "%d slots held (seed %d)", w.held(), seed)
				for id, name := range ownersBefore {
					w.require(t, strings.HasPrefix(w.holder[id], name+"#"), "%s moved from %s to %s (seed %d)", id, name, w.holder[id], seed)
				}
			}
		})
	}
}
