package seamassign_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// scene is an assigner with its store.
type scene struct {
	t        *testing.T
	a        *seamassign.Assigner
	now      time.Duration
	stored   seamtable.Table
	revision int64
	loads    map[seamtable.Holder]seamtable.Load
}

const epoch = 7

// self is the assigner of a scene.
var self = seamtable.Assigner{Name: "a", Incarnation: 1, Epoch: epoch}

func newScene(t *testing.T, found seamtable.Table) *scene {
	t.Helper()
	s := &scene{t: t, stored: found, revision: 1, loads: map[seamtable.Holder]seamtable.Load{}}
	s.a = seamassign.New(seamassign.DefaultConfig(), s.clock(), self, seamclock.Instant{}, found, s.revision)
	s.write()
	return s
}

func (s *scene) clock() seamclock.Instant { return seamclock.Instant{Mono: s.now, Wall: s.now} }

// write writes what the assigner wants.
func (s *scene) write() {
	for {
		table, revision, ok := s.a.PendingWrite()
		if !ok {
			return
		}
		if revision != s.revision {
			s.t.Fatalf("write at revision %d, the store has %d", revision, s.revision)
		}
		s.revision++
		s.stored = table
		s.a.WriteSucceeded(table, s.revision)
	}
}

// life returns the first life of a target.
func life(name string) seamtable.Holder {
	return seamtable.Holder{Target: name, Born: 1000, Address: name}
}

func (s *scene) beat(h seamtable.Holder, state seamassign.State, released ...seamassign.Released) seamassign.Reply {
	return s.a.Heartbeat(s.clock(), seamassign.Heartbeat{
		Epoch: epoch, Holder: h, Node: seampeer.Peer{Name: "node-" + h.Target}, State: state, NoEarlierGrants: true, Released: released, Load: s.loads[h],
	})
}

// pass lets time pass while the holders beat and the store is there.
func (s *scene) pass(d time.Duration, holders ...seamtable.Holder) {
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		s.a.ConfirmLeadership(s.clock())
		for _, h := range holders {
			s.beat(h, seamassign.Ready)
		}
		s.a.Tick(s.clock())
		s.write()
	}
}

func (s *scene) keysOf(h seamtable.Holder) int {
	n := 0
	for _, r := range s.stored.RangesOf(h) {
		n += r.Len()
	}
	return n
}

func TestKeysAreDividedAmongTheTargetsThatStartTogether(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"), life("c"))
	for _, name := range []string{"a", "b", "c"} {
		if n := s.keysOf(life(name)); n < seamtable.Keys/4 || n > seamtable.Keys/2 {
			t.Errorf("target %s holds %d keys", name, n)
		}
	}
	if r := s.beat(life("a"), seamassign.Ready); r.Lease <= 0 || !r.Changed || len(r.Ranges) == 0 {
		t.Errorf("reply %+v", r)
	}
}

func TestSilentHolderLosesItsKeysAfterItsRight(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	s.pass(2*time.Second, life("b"))
	if s.keysOf(life("a")) == 0 {
		t.Fatal("the keys went elsewhere within the promise")
	}
	s.pass(time.Second, life("b"))
	if n := s.keysOf(life("b")); n != seamtable.Keys {
		t.Errorf("the other target holds %d keys", n)
	}
}

func TestHolderThatReturnsTooLateIsPromisedNothingOfWhatItLost(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	// The holder is silent until its right is over. What becomes of its keys can't be written yet.
	for end := s.now + 3*time.Second; s.now < end; s.now += 100 * time.Millisecond {
		s.beat(life("b"), seamassign.Ready)
		s.a.Tick(s.clock())
	}
	late := seamassign.Heartbeat{Epoch: epoch, Holder: life("a"), Revision: s.revision, State: seamassign.Ready, NoEarlierGrants: true}
	if r := s.a.Heartbeat(s.clock(), late); !r.Changed || len(r.Ranges) > 0 {
		t.Errorf("the keys were promised again: %+v", r)
	}
	if r := s.beat(life("b"), seamassign.Ready); len(r.Ranges) == 0 {
		t.Errorf("the other holder has none: %+v", r)
	}
}

func TestDeadHolderLosesItsKeysAtOnce(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	s.beat(life("a"), seamassign.Dead)
	s.pass(100*time.Millisecond, life("b"))
	if n := s.keysOf(life("b")); n != seamtable.Keys {
		t.Errorf("the other target holds %d keys", n)
	}
}

func TestLeavingHolderIsAskedForAllKeys(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	s.beat(life("a"), seamassign.Leaving)
	s.a.Tick(s.clock())
	r := s.beat(life("a"), seamassign.Leaving)
	if len(r.Release) == 0 {
		t.Fatalf("reply %+v asks for nothing", r)
	}
	if s.keysOf(life("a")) == 0 {
		t.Fatal("the keys went elsewhere before they were released")
	}
	for _, o := range r.Release {
		s.beat(life("a"), seamassign.Leaving, seamassign.Released{Span: o.Span, Fence: o.Fence, Handover: "state"})
	}
	s.write()
	if s.keysOf(life("a")) != 0 {
		t.Errorf("still holds %d keys", s.keysOf(life("a")))
	}
	for _, o := range s.stored.RangesOf(life("b")) {
		if o.Fence > 2 && o.Handover != "state" {
			t.Errorf("range %+v came without its handover", o)
		}
	}
}

func TestStoppingNodeKeepsKeysThatOthersHaveNoRoomFor(t *testing.T) {
	for name, tt := range map[string]struct {
		rate float64
		asks bool
	}{
		"room":    {20, true},
		"no room": {90, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, seamtable.Table{})
			for _, h := range []seamtable.Holder{life("a"), life("b")} {
				s.loads[h] = seamtable.Load{Slots: 10, ServiceTime: 0.1, Rate: tt.rate}
			}
			s.pass(2*time.Second, life("a"), life("b"))
			s.beat(life("a"), seamassign.Stopping)
			s.a.Tick(s.clock())
			if r := s.beat(life("a"), seamassign.Stopping); (len(r.Release) > 0) != tt.asks {
				t.Errorf("asks for %v", r.Release)
			}
		})
	}
}

func TestNewTargetGetsKeysSoon(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	for _, h := range []seamtable.Holder{life("a"), life("b")} {
		s.loads[h] = seamtable.Load{Slots: 10, ServiceTime: 0.1, Rate: 30}
	}
	asked := 0
	for range 20 {
		s.pass(100*time.Millisecond, life("a"), life("b"), life("c"))
		for _, h := range []seamtable.Holder{life("a"), life("b")} {
			asked += len(s.beat(h, seamassign.Ready).Release)
		}
	}
	if asked == 0 {
		t.Error("two seconds after it joined, no keys are on their way to the new target")
	}
}

// found is a table that a predecessor left.
func found(by ...seamtable.Assigner) seamtable.Table {
	table := seamtable.Table{Epoch: 3, Assigners: by}
	table.Assign(seamtable.Span{From: 0, To: seamtable.LastKey}, life("a"), "")
	return table
}

var (
	old     = seamtable.Assigner{Name: "old", Incarnation: 1, Epoch: 5}
	older   = seamtable.Assigner{Name: "older", Incarnation: 1, Epoch: 3}
	earlier = seamtable.Assigner{Name: "old", Incarnation: 1, Epoch: 4}
)

func TestSuccessorWaitsForThePromisesOfItsPredecessor(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	for name, tt := range map[string]struct {
		by    []seamtable.Assigner
		ended []seamtable.Assigner
		// over is the time after which the promises of those that ended are over.
		over  time.Duration
		least time.Duration
	}{
		"predecessor may act alone":                 {[]seamtable.Assigner{old}, nil, 0, cfg.MaxStoreOutage + cfg.Lease},
		"predecessor has said that it resigned":     {[]seamtable.Assigner{old}, []seamtable.Assigner{old}, time.Second, cfg.Lease},
		"predecessor left long promises":            {[]seamtable.Assigner{old}, []seamtable.Assigner{old}, 5 * time.Second, 5 * time.Second},
		"predecessor has resigned":                  {nil, nil, 0, cfg.Lease},
		"one of two predecessors has said so":       {[]seamtable.Assigner{older, old}, []seamtable.Assigner{old}, time.Second, cfg.MaxStoreOutage + cfg.Lease},
		"both of two predecessors have said so":     {[]seamtable.Assigner{older, old}, []seamtable.Assigner{old, older}, time.Second, cfg.Lease},
		"a word from an earlier epoch says nothing": {[]seamtable.Assigner{old}, []seamtable.Assigner{earlier}, 0, cfg.MaxStoreOutage + cfg.Lease},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, found(tt.by...))
			for _, p := range tt.ended {
				s.a.PredecessorResigned(s.clock(), p, s.clock().Add(tt.over))
			}
			for s.keysOf(life("a")) > 0 && s.now < time.Minute {
				s.pass(100*time.Millisecond, life("b"))
			}
			if s.now < tt.least || s.now > tt.least+2*time.Second {
				t.Errorf("the keys of a silent holder went elsewhere after %s, want about %s", s.now, tt.least)
			}
		})
	}
}

// away plays an assigner with holders for a time without the store.
func away(t *testing.T, d time.Duration) (s *scene, last seamassign.Reply) {
	t.Helper()
	s = newScene(t, seamtable.Table{})
	s.pass(2*time.Second, life("a"), life("b"))
	s.a.ConfirmLeadership(s.clock())
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		s.beat(life("a"), seamassign.Ready)
		s.beat(life("b"), seamassign.Ready)
	}
	return s, s.beat(life("a"), seamassign.Ready)
}

func TestPromisesAreLongWhileTheStoreIsAway(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	for name, tt := range map[string]struct{ away, promise time.Duration }{
		"the store answered lately":    {500 * time.Millisecond, cfg.Lease},
		"the store is away":            {3 * time.Second, cfg.MaxLongLease},
		"a successor may soon be sure": {cfg.MaxStoreOutage - time.Second, time.Second + cfg.Lease},
	} {
		t.Run(name, func(t *testing.T) {
			s, reply := away(t, tt.away)
			if reply.Lease != tt.promise {
				t.Errorf("promised %s, want %s", reply.Lease, tt.promise)
			}
			// The keys of the holder stay its own for that long, also when the store is back.
			s.a.ConfirmLeadership(s.clock())
			s.pass(tt.promise, life("b"))
			if s.keysOf(life("a")) == 0 {
				t.Error("the keys went elsewhere within the promise")
			}
			s.pass(time.Second, life("b"))
			if s.keysOf(life("a")) != 0 {
				t.Error("the keys stayed after the promise")
			}
		})
	}
}

func TestAssignerWithLongPromisesStaysInTheTable(t *testing.T) {
	s, reply := away(t, 3*time.Second)
	if got := s.a.FinalTable(s.clock()).Assigners; len(got) != 1 || got[0] != self {
		t.Errorf("the final table names %v", got)
	}
	if end := seamclock.MinElapsed(s.a.LastLeaseEnd(), s.clock()); end < reply.Lease {
		t.Errorf("all promises are over after %s, though %s was promised", end, reply.Lease)
	}
	s.now += reply.Lease
	if got := s.a.FinalTable(s.clock()).Assigners; len(got) != 0 {
		t.Errorf("the final table names %v", got)
	}
}

func TestResigningAssignerLeavesThePromisesOfItsPredecessor(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	between := seamassign.New(cfg, seamclock.Instant{}, seamtable.Assigner{Name: "between", Incarnation: 1, Epoch: epoch - 1}, seamclock.Instant{}, found(old), 1)
	table, revision, _ := between.PendingWrite()
	between.WriteSucceeded(table, revision+1)
	s := newScene(t, between.FinalTable(seamclock.Instant{}))
	for s.keysOf(life("a")) > 0 && s.now < time.Minute {
		s.pass(100*time.Millisecond, life("b"))
	}
	if least := cfg.MaxStoreOutage + cfg.Lease; s.now < least {
		t.Errorf("the keys of a silent holder went elsewhere after %s, though the assigner before the last may act alone; want %s", s.now, least)
	}
}

func TestResigningAssignerLeavesTheLongPromisesOfItsPredecessor(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	between := seamassign.New(cfg, seamclock.Instant{}, seamtable.Assigner{Name: "between", Incarnation: 1, Epoch: epoch - 1}, seamclock.Instant{}, found(old), 1)
	table, revision, _ := between.PendingWrite()
	between.WriteSucceeded(table, revision+1)
	over := seamclock.Instant{}.Add(cfg.MaxLongLease)
	between.PredecessorResigned(seamclock.Instant{}, old, over)
	if got := between.FinalTable(seamclock.Instant{}).Assigners; len(got) != 1 || got[0] != old {
		t.Errorf("the final table names %v", got)
	}
	late := over.Add(-cfg.Lease)
	between.Tick(late)
	if got := between.FinalTable(late).Assigners; len(got) != 0 {
		t.Errorf("shortly before the end of its promises the final table names %v", got)
	}
}

func TestPredecessorsAreForgottenOnceTheirPromisesAreOver(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	s := newScene(t, found(older, old))
	s.pass(cfg.MaxStoreOutage+cfg.Lease+time.Second, life("b"))
	if p := s.a.Predecessors(); len(p) > 0 {
		t.Errorf("predecessors %v", p)
	}
	if p := s.a.FinalTable(s.clock()).Assigners; len(p) > 0 {
		t.Errorf("the final table names %v", p)
	}
}

func TestTableOfTheStoreForgetsPredecessorsToo(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	// All keys have a live holder, so that nothing else is written.
	t.Run("promises are over", func(t *testing.T) {
		s := newScene(t, found(older, old))
		s.pass(cfg.MaxStoreOutage+cfg.Lease+time.Second, life("a"))
		if diff := cmp.Diff([]seamtable.Assigner{self}, s.stored.Assigners); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("predecessors have ended", func(t *testing.T) {
		s := newScene(t, found(older, old))
		s.a.PredecessorResigned(s.clock(), old, s.clock())
		s.a.PredecessorResigned(s.clock(), older, s.clock())
		s.pass(time.Second, life("a"))
		if diff := cmp.Diff([]seamtable.Assigner{self}, s.stored.Assigners); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTableOfTheStoreNamesAllWhoMayPromise(t *testing.T) {
	s := newScene(t, found(older, old))
	if diff := cmp.Diff([]seamtable.Assigner{older, old, self}, s.stored.Assigners); diff != "" {
		t.Error(diff)
	}
}

func TestLaterLifeAtTheAddressFreesTheKeysOfTheFormer(t *testing.T) {
	s := newScene(t, found(old))
	next := life("a")
	next.Target, next.Born = "a2", 2000
	s.pass(200*time.Millisecond, next)
	if n := s.keysOf(next); n != seamtable.Keys {
		t.Errorf("the later life holds %d keys", n)
	}
}

func TestNothingIsPromisedBeforeTheEpochIsStored(t *testing.T) {
	a := seamassign.New(seamassign.DefaultConfig(), seamclock.Instant{}, seamtable.Assigner{Name: "a", Epoch: epoch}, seamclock.Instant{}, found(), 1)
	if r := a.Heartbeat(seamclock.Instant{}, seamassign.Heartbeat{Holder: life("a"), State: seamassign.Ready}); r.Lease > 0 || r.Changed {
		t.Errorf("reply %+v", r)
	}
}

func TestTableOfALaterEpochDeposes(t *testing.T) {
	s := newScene(t, seamtable.Table{})
	if s.a.WriteUncertain(s.clock(), seamtable.Table{Epoch: epoch + 1}, 9) {
		t.Error("an assigner went on beside its successor")
	}
}

func TestWriteOfThePredecessorIsTakenOver(t *testing.T) {
	a := seamassign.New(seamassign.DefaultConfig(), seamclock.Instant{}, seamtable.Assigner{Name: "a", Epoch: epoch}, seamclock.Instant{}, seamtable.Table{Epoch: 3}, 1)
	if _, _, ok := a.PendingWrite(); !ok {
		t.Fatal("the epoch is not written")
	}
	if !a.WriteUncertain(seamclock.Instant{}, found(old), 2) {
		t.Fatal("deposed by an earlier epoch")
	}
	table, revision, _ := a.PendingWrite()
	if revision != 2 || len(table.RangesOf(life("a"))) != 1 {
		t.Errorf("wants %+v at revision %d", table, revision)
	}
}
