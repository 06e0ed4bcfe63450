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

// servedAgain is the time within which slots are held again after the loss of one node.
const servedAgain = 2 * time.Second

func settled(t *testing.T, n int, seed int64) *world {
	t.Helper()
	w := newWorld(t, seed, n)
	w.run(8 * time.Second)
	w.untilHeld(10 * time.Second)
	w.must(t, w.held() == slotNumber, "cell did not settle")
	return w
}

func (w *world) must(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if w.broken != "" {
		t.Fatal(w.broken)
	}
	if !ok {
		t.Fatalf(format, args...)
	}
}

// member returns a node that is neither coordinator nor backup.
func (w *world) member(t *testing.T) *node {
	t.Helper()
	for _, n := range w.nodes {
		if n.alive && n.cell.View(n.clock()).Role == seamcell.RoleMember {
			return n
		}
	}
	t.Fatal("no plain member")
	return nil
}

func TestPlacerReceivesReportedLoads(t *testing.T) {
	w := settled(t, 3, 5)
	for _, n := range w.nodes {
		n.target.Loads, n.target.ColdStart = nil, true
		for i := range uint32(200 + slotNumber) { // more than one datagram holds, the slots of the cell last
			i = 199 + slotNumber - i
			load := seamcell.SlotLoad{Slot: seamslot.ID{Service: service, Index: i}, Rate: 100, HottestKeyRate: 62.5}
			n.target.Loads = append(n.target.Loads, load)
		}
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateTarget(now, n.target) })
	}
	w.run(12 * time.Second)
	w.must(t, len(w.placed.Members) == 3 && len(w.placed.Slots) == slotNumber, "placer saw %+v", w.placed)
	for _, m := range w.placed.Members {
		w.must(t, m.ColdStart, "member %+v is not cold", m)
	}
	for _, s := range w.placed.Slots {
		w.must(t, s.Rate == 100 && s.HottestKeyRate == 62.5, "slot %+v", s)
	}
}

// TestPlacerWaitsForReports checks that a new coordinator does not plan while it
// takes busy slots for unused ones.
func TestNewCoordinatorWaitsForLoadReports(t *testing.T) {
	w := settled(t, 5, 5)
	for _, n := range w.nodes {
		n.target.Loads = nil
		for i := range uint32(slotNumber) {
			load := seamcell.SlotLoad{Slot: seamslot.ID{Service: service, Index: i}, Rate: 100}
			n.target.Loads = append(n.target.Loads, load)
		}
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateTarget(now, n.target) })
	}
	w.run(6 * time.Second)
	w.plans, w.unmeasured = 0, 0
	w.coordinator().crash()
	w.run(20 * time.Second)
	w.must(t, w.plans > 0, "no plan was made after the loss of the coordinator")
	w.must(t, w.unmeasured == 0, "plans saw %d slots without their load", w.unmeasured)
}

// TestHeldTimeSurvivesTheCoordinator checks that slots that have stayed where they were for long, and not
// others, look so to a new coordinator.
func TestHoldingTimeSurvivesCoordinatorLoss(t *testing.T) {
	w := settled(t, 5, 5)
	w.run(10 * time.Second)
	lost := w.coordinator()
	had := heldBy(lost)
	lost.crash()
	w.run(7 * time.Second)
	for _, s := range w.placed.Slots {
		w.must(t, !had[s.Slot] || s.HeldFor < 7*time.Second, "slot %v moved lately and looks held for %v", s.Slot, s.HeldFor)
		w.must(t, had[s.Slot] || s.HeldFor > 12*time.Second, "slot %v has stayed and looks held for %v", s.Slot, s.HeldFor)
	}
	w.must(t, len(w.placed.Slots) == slotNumber, "plan saw %d slots", len(w.placed.Slots))
}

func TestSlotsRecoverAfterLoss(t *testing.T) {
	t.Parallel()
	losses := []struct {
		name  string
		lose  func(t *testing.T, w *world)
		limit time.Duration
	}{
		{"member", func(t *testing.T, w *world) { w.member(t).crash() }, servedAgain},
		{"coordinator", func(_ *testing.T, w *world) { w.coordinator().crash() }, servedAgain},
		{"backup", func(_ *testing.T, w *world) { w.backup().crash() }, servedAgain},
		{"member with the store down", func(t *testing.T, w *world) {
			w.store.down = true
			w.member(t).crash()
		}, servedAgain},
		{"coordinator paused", func(_ *testing.T, w *world) { w.coordinator().pause(false) }, servedAgain},
		{"coordinator suspended", func(_ *testing.T, w *world) { w.coordinator().pause(true) }, servedAgain},
		{"coordinator cut off from its backup", func(_ *testing.T, w *world) {
			w.block(w.coordinator(), w.backup(), time.Minute)
		}, servedAgain},
		{"coordinator not reached by its backup", func(_ *testing.T, w *world) {
			w.block(w.backup(), w.coordinator(), time.Minute)
		}, servedAgain},
		{"failure domain", func(_ *testing.T, w *world) {
			domain := w.coordinator().peer.Domain
			for _, n := range w.nodes {
				if n.peer.Domain == domain {
					n.crash()
				}
			}
		}, 2 * servedAgain},
		{"coordinator and backup, restarted", func(_ *testing.T, w *world) {
			b, c := w.backup(), w.coordinator()
			w.lose(w.index(b), 200*time.Millisecond)
			w.lose(w.index(c), 200*time.Millisecond)
		}, servedAgain},
		{"coordinator and backup, until the horizon", func(_ *testing.T, w *world) {
			b, c := w.backup(), w.coordinator()
			b.crash()
			c.crash()
		}, 20 * time.Second},
		{"whole cell, restarted", func(_ *testing.T, w *world) {
			for i := range w.nodes {
				w.lose(i, 200*time.Millisecond)
			}
		}, servedAgain},
	}
	for _, x := range losses {
		t.Run(x.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range int64(10) {
				w := settled(t, 6, seed)
				x.lose(t, w)
				d := w.restored(x.limit + time.Second)
				w.must(t, d <= x.limit, "%d of %d slots held after %v (seed %d)", w.held(), slotNumber, d, seed)
				worst = max(worst, d)
			}
			t.Logf("served again after %v at the worst", worst)
		})
	}
}

// restored runs for the time given and returns after how much of it all slots were held for good.
func (w *world) restored(d time.Duration) time.Duration {
	begin := w.now
	last := begin
	for w.now < begin+d && w.broken == "" {
		w.run(10 * time.Millisecond)
		if w.held() < slotNumber {
			last = w.now
		}
	}
	return last - begin
}

func TestAttestedLossFreesSlots(t *testing.T) {
	for _, foreign := range []bool{false, true} {
		t.Run(fmt.Sprintf("foreign %t", foreign), func(t *testing.T) {
			cfg := modelConfig()
			cfg.RecordTTL = time.Minute
			w := newWorldOf(t, 1, 8, cfg, []string{"erie", "michigan"})
			w.run(10 * time.Second)
			w.must(t, w.held() == slotNumber, "cells did not settle")
			b, c := w.backup(), w.coordinator()
			record := c.cell.View(c.clock())
			b.crash()
			c.crash()
			w.run(4 * time.Second)
			w.must(t, w.held() < slotNumber, "slots of a lost coordinator are held before its loss is attested")
			for _, n := range w.nodes {
				if v := n.cell.View(n.clock()); n.alive && (v.Cell != record.Cell) == foreign {
					n.act(func(now seamclock.Instant) []seamcell.Action {
						return n.cell.Attest(now, record.Cell, []string{b.peer.Name, c.peer.Name})
					})
					break
				}
			}
			d := w.untilHeld(10 * time.Second)
			w.must(t, w.held() == slotNumber, "%d slots held %v after the attestation", w.held(), d)
			t.Logf("all slots held %v after the attestation", d)
		})
	}
}

func TestAttestationOfOtherNodesIsIgnored(t *testing.T) {
	w := settled(t, 6, 1)
	m := w.member(t)
	before := w.coordinator().cell.View(w.coordinator().clock()).Epoch
	m.act(func(now seamclock.Instant) []seamcell.Action {
		return m.cell.Attest(now, "erie-1", []string{m.peer.Name, w.backup().peer.Name})
	})
	w.run(3 * time.Second)
	after := w.coordinator().cell.View(w.coordinator().clock()).Epoch
	w.must(t, before == after, "epoch went from %d to %d", before, after)
}

// drain stops the node as planned and returns how long slots were without a holder at the worst.
func drain(t *testing.T, w *world, n *node) time.Duration {
	t.Helper()
	n.act(n.cell.Drain)
	var gap, worst time.Duration
	for range 1500 {
		w.run(10 * time.Millisecond)
		if w.held() < slotNumber {
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
	w.must(t, n.cell.Drained(), "not drained")
	w.untilHeld(servedAgain)
	w.must(t, w.held() == slotNumber, "%d slots held after the drain", w.held())
	return worst
}

func TestPlannedStop(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		for _, role := range []seamcell.Role{seamcell.RoleMember, seamcell.RoleBackup, seamcell.RoleCoordinator} {
			t.Run(fmt.Sprintf("%s store down %t", role, down), func(t *testing.T) {
				for seed := range int64(5) {
					w := settled(t, 6, seed)
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
// stopped: the next loss is taken over, and a write of another cell ends no coordination.
func TestLossAfterPlannedStop(t *testing.T) {
	for seed := range int64(5) {
		w := settled(t, 6, seed)
		drain(t, w, w.coordinator())
		w.run(2 * time.Second)
		c := w.coordinator()
		w.must(t, w.store.entries[seamcell.CellPrefix+"erie-1"].Record.Coordinator.Same(c.peer), "the record does not name %s", c.peer)
		w.rewrite(seamcell.CellPrefix + "erie-1")
		w.run(time.Second)
		w.must(t, w.coordinator() == c, "a write of another cell ended the coordination")
		c.crash()
		d := w.restored(servedAgain + time.Second)
		w.must(t, d <= servedAgain, "%d of %d slots held after %v (seed %d)", w.held(), slotNumber, d, seed)
	}
}

// rewrite writes the record again as another cell does that changes neither roles nor ranges.
func (w *world) rewrite(key string) {
	e := w.store.entries[key]
	w.apply(key, e.Revision, seamcell.Entry{Key: key, Record: e.Record})
}

func TestSteadyStateWritesAndTraffic(t *testing.T) {
	const members = 12
	w := settled(t, members, 3)
	w.run(10 * time.Second)
	writes := w.store.writes
	clear(w.bytes)
	w.run(20 * time.Second)
	w.must(t, w.store.writes-writes <= 6, "%d writes in 20 s with a horizon of 12 s", w.store.writes-writes)
	c := w.coordinator().peer.Name
	in, out := w.bytes[c+"<"]/20, w.bytes[c+">"]/20
	t.Logf("coordinator of %d members: %d B/s in, %d B/s out", members, in, out)
	w.must(t, in+out <= 4096, "coordinator moves %d B/s in and %d B/s out", in, out)
}

func TestSlotsAreServedDuringStoreOutage(t *testing.T) {
	cfg := modelConfig()
	cfg.RecordTTL = time.Minute
	w := newWorldOf(t, 2, 6, cfg, []string{"erie"})
	w.run(8 * time.Second)
	w.store.down = true
	for range 300 {
		w.run(100 * time.Millisecond)
		w.must(t, w.held() == slotNumber, "%d slots held at %v of a store outage", w.held(), w.now)
	}
	w.run(cfg.RecordTTL)
	w.must(t, w.held() == 0, "%d slots held after the horizon", w.held())
	w.store.down = false
	w.untilHeld(3 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held after the outage", w.held())
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

// promote ends the node with the role and returns the number of its slots that went to their standbys.
func promote(t *testing.T, role seamcell.Role, seed int64) int {
	w := settled(t, 6, seed)
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
			t.Fatalf("%s went to %q, not to its standby %s (seed %d)", id, h, name, seed)
		}
	}
	return len(standbys)
}

func TestMemberWithOldRulesGetsNoLease(t *testing.T) {
	w := settled(t, 4, 1)
	m := w.member(t)
	for _, n := range w.nodes {
		if n != m {
			n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.RulesApplied(now, 2) })
		}
	}
	w.run(2 * time.Second)
	c := w.coordinator()
	w.must(t, c.cell.View(c.clock()).ConfirmedRules == 1, "rules count as confirmed while a member lags")
	w.run(4 * time.Second)
	_, leased := m.cell.Lease(m.clock())
	w.must(t, !leased && w.held() == slotNumber, "lagging member has lease %t, %d slots held", leased, w.held())
	m.act(func(now seamclock.Instant) []seamcell.Action { return m.cell.RulesApplied(now, 2) })
	w.run(time.Second)
	_, leased = m.cell.Lease(m.clock())
	w.must(t, leased && c.cell.View(c.clock()).ConfirmedRules == 2, "member has lease %t after it confirmed", leased)
}

func TestCellsExchangeRanges(t *testing.T) {
	cfg := modelConfig()
	cfg.MaxMembers, cfg.MinMembers = 3, 2
	w := newWorldOf(t, 4, 6, cfg, []string{"erie"})
	w.run(25 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held", w.held())
	owners := 0
	for _, e := range w.store.entries {
		if len(e.Record.Ranges) > 0 {
			owners++
		}
	}
	w.must(t, owners == 2, "%d cells own ranges", owners)
}

func TestDatagramsRespectSizeLimit(t *testing.T) {
	cfg := modelConfig()
	cfg.MaxDatagramBytes = 700
	w := newWorldOf(t, 5, 10, cfg, []string{"erie"})
	w.run(8 * time.Second)
	w.must(t, w.held() == slotNumber, "%d slots held", w.held())
}

func TestFailedHandoverKeepsSlotWithItsState(t *testing.T) {
	w := settled(t, 6, 1)
	n := w.member(t)
	n.keeps = true
	had := heldBy(n)
	n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.Drain(now) })
	w.run(5 * time.Second)
	w.must(t, !n.cell.Drained(), "drained although no slot could be handed over")
	w.untilHeld(servedAgain)
	for i := range uint32(slotNumber) {
		id := seamslot.ID{Service: service, Index: i}
		if had[id] && n.cell.Owner(id).Name != n.peer.Name {
			t.Fatalf("slot %v is granted to %v, which has no state", id, n.cell.Owner(id))
		}
	}
	n.keeps = false
	w.run(5 * time.Second)
	w.must(t, n.cell.Drained(), "not drained after hand-overs worked again")
}

func heldBy(n *node) map[seamslot.ID]bool {
	had := map[seamslot.ID]bool{}
	for i := range uint32(slotNumber) {
		id := seamslot.ID{Service: service, Index: i}
		_, had[id] = n.cell.Grant(n.clock(), id)
	}
	return had
}
