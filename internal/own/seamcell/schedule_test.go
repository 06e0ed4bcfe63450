package seamcell_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomseam/internal/own/seamslot"
)

// schedules is the number of random schedules in a run of the tests.
var schedules = flag.Int("schedules", defaultSchedules, "number of random schedules of faults")

// fault is one kind of disturbance.
type fault int

const (
	faultCrash fault = iota
	faultRestart
	faultPause
	faultSuspend
	faultBlock
	faultBlockOneWay
	faultIsolate
	faultStoreDown
	faultStoreUnknown
	faultLoss
	faultDelay
	faultWall
	faultDrain
	faultTarget
	faultHang
	faultCoordinator
	faultBackup
	faultBoth
	faultKinds
)

// step is one fault of a schedule.
type step struct {
	Kind  fault
	Node  int
	Other int
	// Aim says which node is hit: 0 that with the number Node, 1 the coordinator, 2 the backup,
	// 3 the coordinator with the backup as the other node, 4 the reverse.
	Target int
	// Wait is the time before the fault, Length that until it ends, both in milliseconds.
	Wait, Length int
}

type schedule struct {
	Seed  int64
	Nodes int
	// Max is the largest number of members of a cell, Regions the number of regions.
	MaxMembers int
	Regions    int
	// Roaming says that the service has no homes, and that random parts of ranges change regions.
	NoHomes bool
	// Delay is the longest delay of a datagram, in milliseconds.
	Delay int
	Steps []step
}

var anySchedule = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{
		Seed:       rapid.Int64Range(0, 1<<40).Draw(t, "seed"),
		Nodes:      rapid.IntRange(2, 6).Draw(t, "nodes"),
		MaxMembers: rapid.SampledFrom([]int{12, 4, 3, 2}).Draw(t, "max"),
		Delay:      rapid.SampledFrom([]int{4, 4, 60, 250}).Draw(t, "delay"),
		Regions:    rapid.IntRange(1, 2).Draw(t, "regions"),
	}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			Node:   rapid.IntRange(0, s.Nodes-1).Draw(t, "node"),
			Other:  rapid.IntRange(0, s.Nodes-1).Draw(t, "other"),
			Target: rapid.IntRange(0, 4).Draw(t, "aim"),
			Wait:   rapid.IntRange(0, 1500).Draw(t, "wait"),
			Length: rapid.IntRange(50, 4000).Draw(t, "length"),
		}
	}), 1, 8).Draw(t, "steps")
	return s
})

// aim returns the nodes that the fault hits.
func (w *world) aim(s step) (node, other *node) {
	n, o := w.nodes[s.Node], w.nodes[s.Other]
	b, c := w.backup(), w.coordinator()
	if s.Target == 0 || b == nil || c == nil {
		return n, o
	}
	switch s.Target {
	case 1:
		return c, o
	case 2:
		return b, o
	case 3:
		return c, b
	default:
		return b, c
	}
}

// cause applies a fault, and arranges its end.
func (w *world) cause(s step) {
	n, o := w.aim(s)
	s.Node = w.index(n)
	length := time.Duration(s.Length) * time.Millisecond
	w.trace("%v fault %d at %s other %s for %v", w.now, s.Kind, n.peer, o.peer, length)
	switch s.Kind {
	case faultCrash, faultRestart:
		w.lose(s.Node, length)
	case faultPause, faultSuspend:
		// A machine whose monotonic clock stands still while its wall clock is set back has no
		// clock that tells; the docs name this limit.
		n.pause(s.Kind == faultSuspend && !n.setBack)
		w.after(length, n.resume)
	case faultBlock, faultBlockOneWay:
		w.block(n, o, length)
		if s.Kind == faultBlock {
			w.block(o, n, length)
		}
	case faultIsolate:
		for _, x := range w.nodes {
			w.block(n, x, length)
			w.block(x, n, length)
		}
	case faultStoreDown:
		w.store.down = true
		w.after(length, func() { w.store.down = false })
	case faultStoreUnknown:
		w.store.unknown = 0.5
		w.after(length, func() { w.store.unknown = 0 })
	case faultLoss:
		w.loss, w.duplicate = 0.3, 0.2
		w.after(length, func() { w.loss, w.duplicate = 0, 0 })
	case faultDelay:
		before := w.delay
		w.delay = 800 * time.Millisecond
		w.after(length, func() { w.delay = before })
	case faultWall:
		jump := time.Duration(s.Length-2000) * time.Millisecond
		if jump < 0 && (n.stopped > 0 || n.frozen > 0) {
			return
		}
		n.setBack = n.setBack || jump < 0
		n.offset += jump
	case faultDrain:
		n.act(n.cell.Drain)
		w.after(length, func() { w.lose(s.Node, time.Second) })
	case faultTarget:
		n.target.Name += "x"

		n.synced = map[seamslot.ID]string{}
		n.announce()
	case faultHang:
		n.hang = true
		w.after(length, func() { n.hang = false })
	case faultCoordinator, faultBackup, faultBoth:
		b, c := w.backup(), w.coordinator()
		if c != nil && s.Kind != faultBackup {
			w.lose(w.index(c), length)
		}
		if b != nil && s.Kind != faultCoordinator {
			w.lose(w.index(b), length)
		}
	}
}

// lose ends the run of an instance and starts another later.
func (w *world) lose(i int, length time.Duration) {
	n := w.nodes[i]
	if !n.alive {
		return
	}
	n.crash()
	w.after(length, func() {
		if w.nodes[i] == n {
			w.start(i, n.peer.Name)
		}
	})
}

func (w *world) index(n *node) int {
	for i, x := range w.nodes {
		if x == n {
			return i
		}
	}
	return -1
}

func (w *world) block(a, b *node, length time.Duration) {
	key := [2]string{a.peer.Name, b.peer.Name}
	w.blocked[key] = true
	w.after(length, func() { delete(w.blocked, key) })
}

// play runs a schedule and returns what went wrong, or an empty string.
func play(t testing.TB, s schedule, trace func(string, ...any)) string {
	cfg := modelConfig()
	cfg.MaxMembers = s.MaxMembers
	cfg.MinMembers = min(cfg.MinMembers, 1+s.MaxMembers/2)
	w := emptyWorld(t, s.Seed, cfg, []string{"erie", "michigan"}[:s.Regions])
	if s.NoHomes {
		w.roaming, w.callers = true, w.roam
	}
	w.populate(s.Nodes)
	if trace != nil {
		w.trace = trace
	}
	w.delay = time.Duration(s.Delay) * time.Millisecond
	w.run(4 * time.Second)
	for _, x := range s.Steps {
		w.run(time.Duration(x.Wait) * time.Millisecond)
		w.cause(x)
	}
	w.run(5 * time.Second)
	w.delay = 4 * time.Millisecond
	if w.broken == "" {
		// Both parties of a record may be lost, so that the horizon has to pass first.
		const bound = 40 * time.Second
		if d := w.untilHeld(bound); w.held() < slotNumber && w.broken == "" {
			w.fail("only %d of %d slots held %v after the last fault", w.held(), slotNumber, d)
		}
	}
	return w.broken
}

// TestSchedules runs random schedules of faults from fixed seeds, and checks after each event that no
// slot has two holders and that epochs rise, and at the end that all slots are held.
func TestFaultSchedules(t *testing.T) {
	const shards = 4
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules; i += shards {
				s := anySchedule.Example(i)
				if broken := play(t, s, nil); broken != "" {
					t.Fatalf("schedule %d: %s\n%+v", i, broken, s)
				}
			}
		})
	}
}

// TestAnySchedule lets rapid search for, and shrink, a schedule that breaks an invariant.
func TestRapidFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		s := anySchedule.Draw(r, "schedule")
		if broken := play(t, s, nil); broken != "" {
			r.Fatal(broken)
		}
	})
}

// one is the number of a schedule to run with a trace.
var one = flag.Int("schedule", -1, "number of the one schedule to run with a trace")

// TestOneSchedule traces the schedule that the flag names.
func TestTracedSchedule(t *testing.T) {
	if *one < 0 {
		t.Skip("no schedule named")
	}
	s := anySchedule.Example(*one)
	t.Logf("%+v", s)
	if broken := play(t, s, t.Logf); broken != "" {
		t.Fatal(broken)
	}
}
