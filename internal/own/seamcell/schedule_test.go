package seamcell_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomseam/internal/own/seamslot"
)

// schedules is the number of random schedules in a test run.
var schedules = flag.Int("schedules", defaultSchedules, "number of random schedules of faults")

// fault is a kind of fault.
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
	// Target selects the affected node: 0 the node with the number Node, 1 the coordinator, 2 the
	// backup, 3 the coordinator with the backup as the other node, 4 the reverse.
	Target int
	// Wait is the time before the fault and Length its duration, both in milliseconds.
	Wait, Length int
}

type schedule struct {
	Seed  int64
	Nodes int
	// MaxMembers is the maximum number of members of a cell, Regions the number of regions.
	MaxMembers int
	Regions    int
	// NoHomes says that the service has no home regions and that random parts of ranges move
	// between regions.
	NoHomes bool
	// Delay is the maximum delay of a datagram, in milliseconds.
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

// faultTargets returns the nodes that the fault affects.
func (w *simulation) faultTargets(s step) (node, other *node) {
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

// injectFault applies a fault and schedules its end.
func (w *simulation) injectFault(s step) {
	n, o := w.faultTargets(s)
	s.Node = w.index(n)
	length := time.Duration(s.Length) * time.Millisecond
	w.trace("%v fault %d at %s other %s for %v", w.now, s.Kind, n.peer, o.peer, length)
	switch s.Kind {
	case faultCrash, faultRestart:
		w.restartAfter(s.Node, length)
	case faultPause, faultSuspend:
		// A machine whose monotonic clock stands still while its wall clock is set back has no
		// usable clock. The documentation names this limit.
		n.pause(s.Kind == faultSuspend && !n.clockSetBack)
		w.schedule(length, n.resume)
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
		w.schedule(length, func() { w.store.down = false })
	case faultStoreUnknown:
		w.store.unknown = 0.5
		w.schedule(length, func() { w.store.unknown = 0 })
	case faultLoss:
		w.loss, w.duplicate = 0.3, 0.2
		w.schedule(length, func() { w.loss, w.duplicate = 0, 0 })
	case faultDelay:
		before := w.delay
		w.delay = 800 * time.Millisecond
		w.schedule(length, func() { w.delay = before })
	case faultWall:
		jump := time.Duration(s.Length-2000) * time.Millisecond
		if jump < 0 && (n.stopped > 0 || n.frozen > 0) {
			return
		}
		n.clockSetBack = n.clockSetBack || jump < 0
		n.offset += jump
	case faultDrain:
		n.act(n.cell.Drain)
		w.schedule(length, func() { w.restartAfter(s.Node, time.Second) })
	case faultTarget:
		n.target.Name += "x"

		n.synced = map[seamslot.ID]string{}
		n.announce()
	case faultHang:
		n.hangHandovers = true
		w.schedule(length, func() { n.hangHandovers = false })
	case faultCoordinator, faultBackup, faultBoth:
		b, c := w.backup(), w.coordinator()
		if c != nil && s.Kind != faultBackup {
			w.restartAfter(w.index(c), length)
		}
		if b != nil && s.Kind != faultCoordinator {
			w.restartAfter(w.index(b), length)
		}
	}
}

// restartAfter ends an incarnation of an instance and starts another later.
func (w *simulation) restartAfter(i int, length time.Duration) {
	n := w.nodes[i]
	if !n.alive {
		return
	}
	n.crash()
	w.schedule(length, func() {
		if w.nodes[i] == n {
			w.start(i, n.peer.Name)
		}
	})
}

func (w *simulation) index(n *node) int {
	for i, x := range w.nodes {
		if x == n {
			return i
		}
	}
	return -1
}

func (w *simulation) block(a, b *node, length time.Duration) {
	key := [2]string{a.peer.Name, b.peer.Name}
	w.blocked[key] = true
	w.schedule(length, func() { delete(w.blocked, key) })
}

// runSchedule runs a schedule and returns a description of the violation, or an empty string.
func runSchedule(t testing.TB, s schedule, trace func(string, ...any)) string {
	cfg := simulationConfig()
	cfg.MaxMembers = s.MaxMembers
	cfg.MinMembers = min(cfg.MinMembers, 1+s.MaxMembers/2)
	w := emptySimulation(t, s.Seed, cfg, []string{"erie", "michigan"}[:s.Regions])
	if s.NoHomes {
		w.noHomes, w.planRange = true, w.moveRandomPart
	}
	w.startNodes(s.Nodes)
	if trace != nil {
		w.trace = trace
	}
	w.delay = time.Duration(s.Delay) * time.Millisecond
	w.run(4 * time.Second)
	for _, x := range s.Steps {
		w.run(time.Duration(x.Wait) * time.Millisecond)
		w.injectFault(x)
	}
	w.run(5 * time.Second)
	w.delay = 4 * time.Millisecond
	if w.violation == "" {
		// Both the coordinator and the backup may be lost, so that the record has to expire
		// first.
		const bound = 40 * time.Second
		if d := w.runUntilHeld(bound); w.held() < slotCount && w.violation == "" {
			w.fail("only %d of %d slots held %v after the last fault", w.held(), slotCount, d)
		}
	}
	return w.violation
}

// TestFaultSchedules runs random fault schedules from fixed seeds. It checks after each event that
// no slot has two holders and that epochs increase, and at the end that all slots are held.
func TestFaultSchedules(t *testing.T) {
	const shards = 4
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules; i += shards {
				s := anySchedule.Example(i)
				if violation := runSchedule(t, s, nil); violation != "" {
					t.Fatalf("schedule %d: %s\n%+v", i, violation, s)
				}
			}
		})
	}
}

// TestRapidFaultSchedules uses rapid to search for a schedule that violates an invariant, and to
// shrink it.
func TestRapidFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		s := anySchedule.Draw(r, "schedule")
		if violation := runSchedule(t, s, nil); violation != "" {
			r.Fatal(violation)
		}
	})
}

// tracedSchedule is the number of the schedule to run with a trace.
var tracedSchedule = flag.Int("schedule", -1, "number of the one schedule to run with a trace")

// TestTracedSchedule runs the schedule selected by the flag with a trace.
func TestTracedSchedule(t *testing.T) {
	if *tracedSchedule < 0 {
		t.Skip("no schedule selected")
	}
	s := anySchedule.Example(*tracedSchedule)
	t.Logf("%+v", s)
	if violation := runSchedule(t, s, t.Logf); violation != "" {
		t.Fatal(violation)
	}
}
