package seamcell_test

import (
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamslot"
)

// single returns a world of two regions in which the node returned is the only one of its region with a
// target. It is the coordinator or a member, and its target can hold state or not.
func single(t *testing.T, seed int64, cfg seamcell.Config, role seamcell.Role, holds bool) (*world, *node) {
	t.Helper()
	w := newWorldOf(t, seed, 8, cfg, []string{"erie", "michigan"})
	w.run(10 * time.Second)
	var only *node
	for _, n := range w.nodes {
		if n.peer.Region == "erie" && (only == nil || n.cell.View(n.clock()).Role == role && only.cell.View(only.clock()).Role != role) {
			only = n
		}
	}
	w.must(t, only.cell.View(only.clock()).Role == role, "no %s in erie", role)
	only.target.Standby = holds
	for _, n := range w.nodes {
		if n.peer.Region == "erie" && n != only {
			n.target.Service = ""
		}
		n.announce()
	}
	w.run(3 * time.Second)
	w.untilHeld(20 * time.Second)
	w.must(t, w.held() == slotNumber && heldCount(only) > 0, "%s holds nothing", only.peer)
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

// isolate cuts the node off from all others and from the store.
func (w *world) isolate(n *node, length time.Duration) {
	for _, x := range w.nodes {
		w.block(n, x, length)
		w.block(x, n, length)
	}
	w.store.silent[n.peer.Name], w.store.deaf[n.peer.Name] = true, true
	w.after(length, func() { delete(w.store.silent, n.peer.Name); delete(w.store.deaf, n.peer.Name) })
}

// TestSilentHolderKeepsItsSlots checks that the slots of the only server with their state go to no other
// server while its node is cut off for less than Config.Return, also if the coordinator changes meanwhile.
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
			const cut = 4200 * time.Millisecond
			cfg := modelConfig()
			cfg.ReturnTimeout = seamcell.DefaultConfig().ReturnTimeout
			for seed := range int64(8) {
				w, only := single(t, seed, cfg, x.role, true)
				had := heldBy(only)
				w.isolate(only, cut)
				end := w.now + cut + 2*servedAgain
				w.run(2 * time.Second)
				if x.lose {
					w.coordinatorOf(t, "erie").crash()
				}
				for w.now < end && w.broken == "" {
					w.run(10 * time.Millisecond)
					w.mustHave(t, only, had)
				}
				w.must(t, heldCount(only) >= count(had), "%s holds %d of %d slots again (seed %d)", only.peer, heldCount(only), count(had), seed)
			}
		})
	}
}

func count(had map[seamslot.ID]bool) int {
	n := 0
	for _, x := range had {
		if x {
			n++
		}
	}
	return n
}

// mustHave fails if one of the slots is held by another node.
func (w *world) mustHave(t *testing.T, only *node, had map[seamslot.ID]bool) {
	t.Helper()
	for id, x := range had {
		if x {
			w.must(t, w.holder[id] == only.name, "%s is held by %s without its state at %v", id, w.holder[id], w.now)
		}
	}
}

// coordinatorOf returns the live coordinator of the region's cell.
func (w *world) coordinatorOf(t *testing.T, region string) *node {
	t.Helper()
	for _, n := range w.nodes {
		if v := n.cell.View(n.clock()); n.alive && n.peer.Region == region && v.Role == seamcell.RoleCoordinator && !v.AuthorityExpiresAt.Zero() {
			return n
		}
	}
	t.Fatalf("no coordinator in %s", region)
	return nil
}

// TestLostHolderIsReplaced checks how long the slots of a server without a standby are unserved after it is
// lost for good: no longer than Config.Return beyond what a server takes that cannot hold state, and not that
// long if its instance starts again.
func TestLostHolderIsReplacedInTime(t *testing.T) {
	t.Parallel()
	const move = 6 * time.Second // to another cell: publishing, settling, the move and the grants
	cfg := seamcell.DefaultConfig()
	for _, x := range []struct {
		name    string
		holds   bool
		restart time.Duration
		limit   time.Duration
	}{
		{"state, never back", true, 0, cfg.ReturnTimeout + move},
		{"no state, never back", false, 0, move},
		{"state, restarted", true, time.Second, servedAgain + time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range int64(8) {
				w, only := single(t, seed, cfg, seamcell.RoleMember, x.holds)
				if x.restart > 0 {
					w.lose(w.index(only), x.restart)
				} else {
					only.crash()
				}
				d := w.restored(x.limit + 5*time.Second)
				w.must(t, d <= x.limit, "%d of %d slots held after %v (seed %d)", w.held(), slotNumber, d, seed)
				worst = max(worst, d)
			}
			t.Logf("served again after %v at the worst", worst)
		})
	}
}

// TestOnlyServerStops checks that a planned stop of the only server of a region moves its slots to the other
// region by hand-overs, and that the node does not end before.
func TestOnlyServerHandsOverToOtherRegion(t *testing.T) {
	for seed := range int64(5) {
		w, only := single(t, seed, modelConfig(), seamcell.RoleMember, true)
		had, released := count(heldBy(only)), w.emitted[seamevent.SlotReleased]
		gap := drain(t, w, only)
		w.must(t, gap <= 600*time.Millisecond, "slots were without a holder for %v", gap)
		w.must(t, w.emitted[seamevent.SlotReleased]-released >= had, "%d of %d slots were handed over", w.emitted[seamevent.SlotReleased]-released, had)
		w.must(t, w.emitted[seamevent.SlotWaiting] == 0, "slots waited for a server that had handed them over")
	}
}

// TestRestartFindsTheState checks that slots return to the targets that run on beside restarted nodes, and
// stay with members that were not restarted, also when datagrams are lost.
func TestSlotsReturnToTargetsAfterRestart(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name  string
		whole bool
		loss  float64
	}{{"coordinator and backup", false, 0}, {"coordinator and backup, one datagram in ten lost", false, 0.1}, {"whole cell", true, 0}} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range int64(10) {
				w := settled(t, 6, seed)
				w.outlive, w.loss = true, x.loss
				had := map[seamslot.ID]string{}
				for _, n := range w.nodes {
					for id, held := range heldBy(n) {
						if held {
							had[id] = n.peer.Name
						}
					}
				}
				b, c := w.backup(), w.coordinator()
				for i, n := range w.nodes {
					if x.whole || n == b || n == c {
						w.lose(i, 200*time.Millisecond)
					}
				}
				w.run(time.Second)
				w.untilHeld(5 * time.Second)
				w.must(t, w.held() == slotNumber, "%d slots held (seed %d)", w.held(), seed)
				for id, name := range had {
					w.must(t, strings.HasPrefix(w.holder[id], name+"#"), "%s went from %s to %s (seed %d)", id, name, w.holder[id], seed)
				}
			}
		})
	}
}
