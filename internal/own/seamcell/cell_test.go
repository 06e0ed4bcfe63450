package seamcell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// recoveryLimit is the time within which all slots are held again after the loss of one node.
const recoveryLimit = 2 * time.Second

func settledSimulation(t *testing.T, n int, seed int64) *simulation {
	t.Helper()
	w := newSimulation(t, seed, n)
	w.run(8 * time.Second)
	w.runUntilHeld(10 * time.Second)
	w.require(t, w.held() == slotCount, "not all slots are held after the start")
	return w
}

func (w *simulation) require(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	if !ok {
		t.Fatalf(format, args...)
	}
}

// member returns a node that is neither coordinator nor backup.
func (w *simulation) member(t *testing.T) *node {
	t.Helper()
	for _, n := range w.nodes {
		if n.alive && n.cell.View(n.clock()).Role == seamcell.RoleMember {
			return n
		}
	}
	t.Fatal("no member that is neither coordinator nor backup")
	return nil
}

func TestPlacerReceivesReportedLoads(t *testing.T) {
	w := settledSimulation(t, 3, 5)
	for _, n := range w.nodes {
		n.target.Loads, n.target.ColdStart = nil, true
		for i := range uint32(200 + slotCount) { // more than fit into one datagram, with the slots of the cell last
			i = 199 + slotCount - i
			load := seamcell.SlotLoad{Slot: seamslot.ID{Service: service, Index: i}, Rate: 100, HottestKeyRate: 62.5}
			n.target.Loads = append(n.target.Loads, load)
		}
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateTarget(now, n.target) })
	}
	w.run(12 * time.Second)
	w.require(t, len(w.lastPlacement.Members) == 3 && len(w.lastPlacement.Slots) == slotCount, "placer received %+v", w.lastPlacement)
	for _, m := range w.lastPlacement.Members {
		w.require(t, m.ColdStart, "member %+v does not request a slow start", m)
	}
	for _, s := range w.lastPlacement.Slots {
		w.require(t, s.Rate == 100 && s.HottestKeyRate == 62.5, "slot %+v", s)
	}
}

// TestNewCoordinatorWaitsForLoadReports checks that a new coordinator does not plan while it does
// not know the loads and would treat busy slots as unused.
func TestNewCoordinatorWaitsForLoadReports(t *testing.T) {
	w := settledSimulation(t, 5, 5)
	for _, n := range w.nodes {
		n.target.Loads = nil
		for i := range uint32(slotCount) {
			load := seamcell.SlotLoad{Slot: seamslot.ID{Service: service, Index: i}, Rate: 100}
			n.target.Loads = append(n.target.Loads, load)
		}
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateTarget(now, n.target) })
	}
	w.run(6 * time.Second)
	w.plans, w.unmeasured = 0, 0
	w.coordinator().crash()
	w.run(20 * time.Second)
	w.require(t, w.plans > 0, "no plan was made after the loss of the coordinator")
	w.require(t, w.unmeasured == 0, "plans had %d slots without their load", w.unmeasured)
}

// TestHoldingTimeSurvivesCoordinatorLoss checks that a new coordinator knows which slots have
// stayed at their owner for long, and which have moved recently.
func TestHoldingTimeSurvivesCoordinatorLoss(t *testing.T) {
	w := settledSimulation(t, 5, 5)
	w.run(10 * time.Second)
	lost := w.coordinator()
	had := heldBy(lost)
	lost.crash()
	w.run(7 * time.Second)
	for _, s := range w.lastPlacement.Slots {
		w.require(t, !had[s.Slot] || s.HeldFor < 7*time.Second, "slot %v has moved recently and is reported as held for %v", s.Slot, s.HeldFor)
		w.require(t, had[s.Slot] || s.HeldFor > 12*time.Second, "slot %v has not moved and is reported as held for %v", s.Slot, s.HeldFor)
	}
	w.require(t, len(w.lastPlacement.Slots) == slotCount, "plan had %d slots", len(w.lastPlacement.Slots))
}

func TestSlotsRecoverAfterLoss(t *testing.T) {
	t.Parallel()
	losses := []struct {
		name  string
		lose  func(t *testing.T, w *simulation)
		limit time.Duration
	}{
		{"member", func(t *testing.T, w *simulation) { w.member(t).crash() }, recoveryLimit},
		{"coordinator", func(_ *testing.T, w *simulation) { w.coordinator().crash() }, recoveryLimit},
		{"backup", func(_ *testing.T, w *simulation) { w.backup().crash() }, recoveryLimit},
		{"member with the store down", func(t *testing.T, w *simulation) {
			w.store.down = true
			w.member(t).crash()
		}, recoveryLimit},
		{"coordinator paused", func(_ *testing.T, w *simulation) { w.coordinator().pause(false) }, recoveryLimit},
		{"coordinator suspended", func(_ *testing.T, w *simulation) { w.coordinator().pause(true) }, recoveryLimit},
		{"coordinator cut off from its backup", func(_ *testing.T, w *simulation) {
			w.block(w.coordinator(), w.backup(), time.Minute)
		}, recoveryLimit},
		{"backup cut off from its coordinator", func(_ *testing.T, w *simulation) {
			w.block(w.backup(), w.coordinator(), time.Minute)
		}, recoveryLimit},
		{"failure domain", func(_ *testing.T, w *simulation) {
			domain := w.coordinator().peer.Domain
			for _, n := range w.nodes {
				if n.peer.Domain == domain {
					n.crash()
				}
			}
		}, 2 * recoveryLimit},
		{"coordinator and backup, restarted", func(_ *testing.T, w *simulation) {
			b, c := w.backup(), w.coordinator()
			w.restartAfter(w.index(b), 200*time.Millisecond)
			w.restartAfter(w.index(c), 200*time.Millisecond)
		}, recoveryLimit},
		{"coordinator and backup, until the record expires", func(_ *testing.T, w *simulation) {
			b, c := w.backup(), w.coordinator()
			b.crash()
			c.crash()
		}, 20 * time.Second},
		{"whole cell, restarted", func(_ *testing.T, w *simulation) {
			for i := range w.nodes {
				w.restartAfter(i, 200*time.Millisecond)
			}
		}, recoveryLimit},
	}
	for _, x := range losses {
		t.Run(x.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range int64(10) {
				w := settledSimulation(t, 6, seed)
				x.lose(t, w)
				d := w.restored(x.limit + time.Second)
				w.require(t, d <= x.limit, "%d of %d slots held after %v (seed %d)", w.held(), slotCount, d, seed)
				worst = max(worst, d)
			}
			t.Logf("all slots held again after at most %v", worst)
		})
	}
}

// restored runs for the given time and returns the time after which all slots stayed held.
func (w *simulation) restored(d time.Duration) time.Duration {
	begin := w.now
	last := begin
	for w.now < begin+d && w.violation == "" {
		w.run(10 * time.Millisecond)
		if w.held() < slotCount {
			last = w.now
		}
	}
	return last - begin
}

func TestAttestedLossFreesSlots(t *testing.T) {
	for _, foreign := range []bool{false, true} {
		t.Run(fmt.Sprintf("attested in another cell %t", foreign), func(t *testing.T) {
			cfg := simulationConfig()
			cfg.RecordTTL = time.Minute
			w := newSimulationOf(t, 1, 8, cfg, []string{"erie", "michigan"})
			w.run(10 * time.Second)
			w.require(t, w.held() == slotCount, "not all slots are held after the start")
			b, c := w.backup(), w.coordinator()
			record := c.cell.View(c.clock())
			b.crash()
			c.crash()
			w.run(4 * time.Second)
			w.require(t, w.held() < slotCount, "slots of a lost coordinator are held before its loss is attested")
			for _, n := range w.nodes {
				if v := n.cell.View(n.clock()); n.alive && (v.Cell != record.Cell) == foreign {
					n.act(func(now seamclock.Instant) []seamcell.Action {
						return n.cell.Attest(now, record.Cell, []string{b.peer.Name, c.peer.Name})
					})
					break
				}
			}
			d := w.runUntilHeld(10 * time.Second)
			w.require(t, w.held() == slotCount, "%d slots held %v after the attestation", w.held(), d)
			t.Logf("all slots held %v after the attestation", d)
		})
	}
}

func TestAttestationOfOtherNodesIsIgnored(t *testing.T) {
	w := settledSimulation(t, 6, 1)
	m := w.member(t)
	before := w.coordinator().cell.View(w.coordinator().clock()).Epoch
	m.act(func(now seamclock.Instant) []seamcell.Action {
		return m.cell.Attest(now, "erie-1", []string{m.peer.Name, w.backup().peer.Name})
	})
	w.run(3 * time.Second)
	after := w.coordinator().cell.View(w.coordinator().clock()).Epoch
	w.require(t, before == after, "epoch went from %d to %d", before, after)
}

// drain gracefully shuts the node down and returns the longest time for which not all slots had a
// holder.
func drain(t *testing.T, w *simulation, n *node) time.Duration {
	t.Helper()
	n.act(n.cell.Drain)
	var gap, worst time.Duration
	for range 1500 {
		w.run(10 * time.Millisecond)
		if w.held() < slotCount {
			gap += 10 * time.Millisecond
		} else {
			gap = 0
		}
		worst = max(worst, gap)
		if n.cell.Drained() {
			n.crash()
			break
		}
	}
	w.require(t, n.cell.Drained(), "node is not drained")
	w.runUntilHeld(recoveryLimit)
	w.require(t, w.held() == slotCount, "%d slots held after the drain", w.held())
	return worst
}

func TestPlannedStop(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		for _, role := range []seamcell.Role{seamcell.RoleMember, seamcell.RoleBackup, seamcell.RoleCoordinator} {
			t.Run(fmt.Sprintf("%s store down %t", role, down), func(t *testing.T) {
				for seed := range int64(5) {
					w := settledSimulation(t, 6, seed)
					w.store.down = down
					n := w.member(t)
					switch role {
					case seamcell.RoleBackup:
						n = w.backup()
					case seamcell.RoleCoordinator:
						n = w.coordinator()
					}
					if gap := drain(t, w, n); gap > 600*time.Millisecond {
						t.Fatalf("slots were without a holder for %v", gap)
					}
				}
			})
		}
	}
}

// TestLossAfterPlannedStop checks that the record names the successor of a coordinator that has
// shut down: the backup takes over at the next loss, and a write by another cell does not make the
// coordinator step down.
func TestLossAfterPlannedStop(t *testing.T) {
	for seed := range int64(5) {
		w := settledSimulation(t, 6, seed)
		drain(t, w, w.coordinator())
		w.run(2 * time.Second)
		c := w.coordinator()
		w.require(t, w.store.entries[seamcell.CellPrefix+"erie-1"].Record.Coordinator.Same(c.peer), "the record does not name %s", c.peer)
		w.rewrite(seamcell.CellPrefix + "erie-1")
		w.run(time.Second)
		w.require(t, w.coordinator() == c, "a write of another cell made the coordinator step down")
		c.crash()
		d := w.restored(recoveryLimit + time.Second)
		w.require(t, d <= recoveryLimit, "%d of %d slots held after %v (seed %d)", w.held(), slotCount, d, seed)
	}
}

// rewrite writes the record again without changing roles or ranges, as another cell may.
func (w *simulation) rewrite(key string) {
	e := w.store.entries[key]
	w.apply(key, e.Revision, seamcell.Entry{Key: key, Record: e.Record})
}

func TestSteadyStateWritesAndTraffic(t *testing.T) {
	const members = 12
	w := settledSimulation(t, members, 3)
	w.run(10 * time.Second)
	writes := w.store.writes
	clear(w.bytes)
	w.run(20 * time.Second)
	w.require(t, w.store.writes-writes <= 6, "%d writes in 20 s with a record TTL of 12 s", w.store.writes-writes)
	c := w.coordinator().peer.Name
	in, out := w.bytes[c+"<"]/20, w.bytes[c+">"]/20
	t.Logf("coordinator of %d members: %d B/s in, %d B/s out", members, in, out)
	w.require(t, in+out <= 4096, "coordinator receives %d B/s and sends %d B/s", in, out)
}

func TestSlotsAreServedDuringStoreOutage(t *testing.T) {
	cfg := simulationConfig()
	cfg.RecordTTL = time.Minute
	w := newSimulationOf(t, 2, 6, cfg, []string{"erie"})
	w.run(8 * time.Second)
	w.store.down = true
	for range 300 {
		w.run(100 * time.Millisecond)
		w.require(t, w.held() == slotCount, "%d slots held during a store outage at %v", w.held(), w.now)
	}
	w.run(cfg.RecordTTL)
	w.require(t, w.held() == 0, "%d slots held after the record expired", w.held())
	w.store.down = false
	w.runUntilHeld(3 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held after the outage", w.held())
}

func TestStandbyIsPromoted(t *testing.T) {
	t.Parallel()
	for _, role := range []seamcell.Role{seamcell.RoleMember, seamcell.RoleBackup, seamcell.RoleCoordinator} {
		t.Run(string(role), func(t *testing.T) {
			promoted := 0
			for seed := range int64(8) {
				promoted += promote(t, role, seed)
			}
			if promoted == 0 {
				t.Fatal("no slot had a standby")
			}
		})
	}
}

// promote crashes the node with the role, checks that its slots with a synced standby move to their
// standbys, and returns the number of these slots.
func promote(t *testing.T, role seamcell.Role, seed int64) int {
	w := settledSimulation(t, 6, seed)
	w.run(2 * time.Second)
	c := w.coordinator()
	lost := c
	switch role {
	case seamcell.RoleMember:
		lost = w.member(t)
	case seamcell.RoleBackup:
		lost = w.backup()
	}
	standbys := map[seamslot.ID]string{}
	for _, s := range c.cell.View(c.clock()).Slots {
		if s.Owner.Same(lost.peer) && s.Synced {
			standbys[s.Slot] = s.Standby.Name
		}
	}
	lost.crash()
	next := map[seamslot.ID]string{}
	for range 200 {
		w.run(10 * time.Millisecond)
		for id := range standbys {
			if h := w.holder[id]; h != lost.name && next[id] == "" {
				next[id] = h
			}
		}
	}
	for id, name := range standbys {
		if h := next[id]; !strings.HasPrefix(h, name+"#") {
			t.Fatalf("%s moved to %q, not to its standby %s (seed %d)", id, h, name, seed)
		}
	}
	return len(standbys)
}

func TestMemberWithOldRulesGetsNoLease(t *testing.T) {
	w := settledSimulation(t, 4, 1)
	m := w.member(t)
	for _, n := range w.nodes {
		if n != m {
			n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.RulesApplied(now, 2) })
		}
	}
	w.run(2 * time.Second)
	c := w.coordinator()
	w.require(t, c.cell.View(c.clock()).ConfirmedRules == 1, "rules count as confirmed while a member lags")
	w.run(4 * time.Second)
	_, leased := m.cell.Lease(m.clock())
	w.require(t, !leased && w.held() == slotCount, "lagging member has lease %t, %d slots held", leased, w.held())
	m.act(func(now seamclock.Instant) []seamcell.Action { return m.cell.RulesApplied(now, 2) })
	w.run(time.Second)
	_, leased = m.cell.Lease(m.clock())
	w.require(t, leased && c.cell.View(c.clock()).ConfirmedRules == 2, "member has lease %t after it confirmed", leased)
}

func TestCellsExchangeRanges(t *testing.T) {
	cfg := simulationConfig()
	cfg.MaxMembers, cfg.MinMembers = 3, 2
	w := newSimulationOf(t, 4, 6, cfg, []string{"erie"})
	w.run(25 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held", w.held())
	owners := 0
	for _, e := range w.store.entries {
		if len(e.Record.Ranges) > 0 {
			owners++
		}
	}
	w.require(t, owners == 2, "%d cells own ranges", owners)
}

func TestDatagramsRespectSizeLimit(t *testing.T) {
	cfg := simulationConfig()
	cfg.MaxDatagramBytes = 700
	w := newSimulationOf(t, 5, 10, cfg, []string{"erie"})
	w.run(8 * time.Second)
	w.require(t, w.held() == slotCount, "%d slots held", w.held())
}

func TestFailedHandoverKeepsSlotWithItsState(t *testing.T) {
	w := settledSimulation(t, 6, 1)
	n := w.member(t)
	n.failHandovers = true
	had := heldBy(n)
	n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.Drain(now) })
	w.run(5 * time.Second)
	w.require(t, !n.cell.Drained(), "node is drained although no slot could be handed over")
	w.runUntilHeld(recoveryLimit)
	for i := range uint32(slotCount) {
		id := seamslot.ID{Service: service, Index: i}
		if had[id] && n.cell.Owner(id).Name != n.peer.Name {
			t.Fatalf("slot %v is granted to %v, which does not have its state", id, n.cell.Owner(id))
		}
	}
	n.failHandovers = false
	w.run(5 * time.Second)
	w.require(t, n.cell.Drained(), "node is not drained after handovers worked again")
}

func heldBy(n *node) map[seamslot.ID]bool {
	had := map[seamslot.ID]bool{}
	for i := range uint32(slotCount) {
		id := seamslot.ID{Service: service, Index: i}
		_, had[id] = n.cell.Grant(n.clock(), id)
	}
	return had
}
