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

// harness runs an assigner against a simulated store and clock.
type harness struct {
	t        *testing.T
	assigner *seamassign.Assigner
	now      time.Duration
	stored   seamtable.Table
	revision int64
	loads    map[seamtable.Holder]seamtable.Load
}

const epoch = 7

// self identifies the assigner of a harness.
var self = seamtable.Assigner{Name: "a", Incarnation: 1, Epoch: epoch}

func newHarness(t *testing.T, found seamtable.Table) *harness {
	t.Helper()
	s := &harness{t: t, stored: found, revision: 1, loads: map[seamtable.Holder]seamtable.Load{}}
	s.assigner = seamassign.New(seamassign.DefaultConfig(), s.clock(), self, seamclock.Instant{}, found, s.revision)
	s.writePending()
	return s
}

func (s *harness) clock() seamclock.Instant { return seamclock.Instant{Mono: s.now, Wall: s.now} }

// writePending writes the tables that the assigner wants to store.
func (s *harness) writePending() {
	for {
		table, revision, ok := s.assigner.PendingWrite()
		if !ok {
			return
		}
		if revision != s.revision {
			s.t.Fatalf("write at revision %d, the store has %d", revision, s.revision)
		}
		s.revision++
		s.stored = table
		s.assigner.WriteSucceeded(table, s.revision)
	}
}

// firstIncarnation returns the first incarnation of a target.
func firstIncarnation(name string) seamtable.Holder {
	return seamtable.Holder{Target: name, Born: 1000, Address: name}
}

func (s *harness) heartbeat(h seamtable.Holder, state seamassign.State, released ...seamassign.Released) seamassign.Reply {
	return s.assigner.Heartbeat(s.clock(), seamassign.Heartbeat{
		Epoch: epoch, Holder: h, Node: seampeer.Peer{Name: "node-" + h.Target}, State: state, NoEarlierGrants: true, Released: released, Load: s.loads[h],
	})
}

// advance advances the time while the holders send heartbeats and the store is available.
func (s *harness) advance(d time.Duration, holders ...seamtable.Holder) {
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		s.assigner.ConfirmLeadership(s.clock())
		for _, h := range holders {
			s.heartbeat(h, seamassign.Ready)
		}
		s.assigner.Tick(s.clock())
		s.writePending()
	}
}

func (s *harness) keysOf(h seamtable.Holder) int {
	n := 0
	for _, r := range s.stored.RangesByHolder()[h] {
		n += r.Len()
	}
	return n
}

func TestKeysAreDividedAmongTheTargetsThatStartTogether(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"), firstIncarnation("c"))
	for _, name := range []string{"a", "b", "c"} {
		if n := s.keysOf(firstIncarnation(name)); n < seamtable.Keys/4 || n > seamtable.Keys/2 {
			t.Errorf("target %s holds %d keys", name, n)
		}
	}
	if r := s.heartbeat(firstIncarnation("a"), seamassign.Ready); r.Lease <= 0 || !r.Changed || len(r.Ranges) == 0 {
		t.Errorf("reply %+v", r)
	}
}

func TestUnresponsiveHolderLosesKeysAfterLeaseExpiry(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	s.advance(2*time.Second, firstIncarnation("b"))
	if s.keysOf(firstIncarnation("a")) == 0 {
		t.Fatal("the keys were reassigned before the lease expired")
	}
	s.advance(time.Second, firstIncarnation("b"))
	if n := s.keysOf(firstIncarnation("b")); n != seamtable.Keys {
		t.Errorf("the other target holds %d keys", n)
	}
}

func TestExpiredHolderGetsNoLeaseOnLostKeys(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	// The holder sends no heartbeat until its lease has expired. The reassignment of its keys is not yet stored.
	for end := s.now + 3*time.Second; s.now < end; s.now += 100 * time.Millisecond {
		s.heartbeat(firstIncarnation("b"), seamassign.Ready)
		s.assigner.Tick(s.clock())
	}
	late := seamassign.Heartbeat{Epoch: epoch, Holder: firstIncarnation("a"), Revision: s.revision, State: seamassign.Ready, NoEarlierGrants: true}
	if r := s.assigner.Heartbeat(s.clock(), late); !r.Changed || len(r.Ranges) > 0 {
		t.Errorf("the expired holder got a new lease on its keys: %+v", r)
	}
	if r := s.heartbeat(firstIncarnation("b"), seamassign.Ready); len(r.Ranges) == 0 {
		t.Errorf("the other holder has no keys: %+v", r)
	}
}

func TestDeadHolderLosesItsKeysAtOnce(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	s.heartbeat(firstIncarnation("a"), seamassign.Dead)
	s.advance(100*time.Millisecond, firstIncarnation("b"))
	if n := s.keysOf(firstIncarnation("b")); n != seamtable.Keys {
		t.Errorf("the other target holds %d keys", n)
	}
}

func TestLeavingHolderIsAskedToReleaseAllKeys(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	s.heartbeat(firstIncarnation("a"), seamassign.Leaving)
	s.assigner.Tick(s.clock())
	r := s.heartbeat(firstIncarnation("a"), seamassign.Leaving)
	if len(r.Release) == 0 {
		t.Fatalf("reply %+v requests no release", r)
	}
	if s.keysOf(firstIncarnation("a")) == 0 {
		t.Fatal("the keys were reassigned before they were released")
	}
	for _, o := range r.Release {
		s.heartbeat(firstIncarnation("a"), seamassign.Leaving, seamassign.Released{Span: o.Span, Fence: o.Fence, Handover: "state"})
	}
	s.writePending()
	if s.keysOf(firstIncarnation("a")) != 0 {
		t.Errorf("the leaving target still holds %d keys", s.keysOf(firstIncarnation("a")))
	}
	for _, o := range s.stored.RangesByHolder()[firstIncarnation("b")] {
		// Fences 1 and 2 belong to the first assignment, which had no handover.
		if o.Fence > 2 && o.Handover != "state" {
			t.Errorf("range %+v lacks the handover state", o)
		}
	}
}

func TestStoppingNodeKeepsKeysIfOthersLackCapacity(t *testing.T) {
	for name, tt := range map[string]struct {
		rate    float64
		release bool
	}{
		"capacity":    {20, true},
		"no capacity": {90, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, seamtable.Table{})
			for _, h := range []seamtable.Holder{firstIncarnation("a"), firstIncarnation("b")} {
				s.loads[h] = seamtable.Load{MaxConcurrency: 10, ServiceTime: 0.1, Rate: tt.rate}
			}
			s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
			s.heartbeat(firstIncarnation("a"), seamassign.Stopping)
			s.assigner.Tick(s.clock())
			if r := s.heartbeat(firstIncarnation("a"), seamassign.Stopping); (len(r.Release) > 0) != tt.release {
				t.Errorf("requested releases: %v", r.Release)
			}
		})
	}
}

func TestNewTargetGetsKeysSoon(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	for _, h := range []seamtable.Holder{firstIncarnation("a"), firstIncarnation("b")} {
		s.loads[h] = seamtable.Load{MaxConcurrency: 10, ServiceTime: 0.1, Rate: 30}
	}
	releases := 0
	for range 20 {
		s.advance(100*time.Millisecond, firstIncarnation("a"), firstIncarnation("b"), firstIncarnation("c"))
		for _, h := range []seamtable.Holder{firstIncarnation("a"), firstIncarnation("b")} {
			releases += len(s.heartbeat(h, seamassign.Ready).Release)
		}
	}
	if releases == 0 {
		t.Error("no keys are moving to the new target two seconds after it joined")
	}
}

// tableLeftBy returns a table in which target a holds all keys and which lists the given assigners.
func tableLeftBy(by ...seamtable.Assigner) seamtable.Table {
	table := seamtable.Table{Epoch: 3, Assigners: by}
	table.Assign(seamtable.Span{From: 0, To: seamtable.LastKey}, firstIncarnation("a"), "")
	return table
}

var (
	lastPredecessor             = seamtable.Assigner{Name: "old", Incarnation: 1, Epoch: 5}
	firstPredecessor            = seamtable.Assigner{Name: "older", Incarnation: 1, Epoch: 3}
	lastPredecessorEarlierEpoch = seamtable.Assigner{Name: "old", Incarnation: 1, Epoch: 4}
)

func TestSuccessorWaitsForPredecessorLeases(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	for name, tt := range map[string]struct {
		by       []seamtable.Assigner
		resigned []seamtable.Assigner
		// leaseEnd is the time after which the leases of the resigned assigners have expired.
		leaseEnd time.Duration
		minWait  time.Duration
	}{
		"predecessor may be active without the store":    {[]seamtable.Assigner{lastPredecessor}, nil, 0, cfg.MaxStoreOutage + cfg.Lease},
		"predecessor has reported its resignation":       {[]seamtable.Assigner{lastPredecessor}, []seamtable.Assigner{lastPredecessor}, time.Second, cfg.Lease},
		"predecessor left long leases":                   {[]seamtable.Assigner{lastPredecessor}, []seamtable.Assigner{lastPredecessor}, 5 * time.Second, 5 * time.Second},
		"predecessor is not in the table":                {nil, nil, 0, cfg.Lease},
		"one of two predecessors has resigned":           {[]seamtable.Assigner{firstPredecessor, lastPredecessor}, []seamtable.Assigner{lastPredecessor}, time.Second, cfg.MaxStoreOutage + cfg.Lease},
		"both of two predecessors have resigned":         {[]seamtable.Assigner{firstPredecessor, lastPredecessor}, []seamtable.Assigner{lastPredecessor, firstPredecessor}, time.Second, cfg.Lease},
		"resignation of an earlier epoch does not count": {[]seamtable.Assigner{lastPredecessor}, []seamtable.Assigner{lastPredecessorEarlierEpoch}, 0, cfg.MaxStoreOutage + cfg.Lease},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, tableLeftBy(tt.by...))
			for _, p := range tt.resigned {
				s.assigner.PredecessorResigned(s.clock(), p, s.clock().Add(tt.leaseEnd))
			}
			for s.keysOf(firstIncarnation("a")) > 0 && s.now < time.Minute {
				s.advance(100*time.Millisecond, firstIncarnation("b"))
			}
			if s.now < tt.minWait || s.now > tt.minWait+2*time.Second {
				t.Errorf("the keys of an unresponsive holder were reassigned after %s, want about %s", s.now, tt.minWait)
			}
		})
	}
}

// runDuringStoreOutage runs an assigner with holders during a store outage of the given duration.
func runDuringStoreOutage(t *testing.T, d time.Duration) (s *harness, last seamassign.Reply) {
	t.Helper()
	s = newHarness(t, seamtable.Table{})
	s.advance(2*time.Second, firstIncarnation("a"), firstIncarnation("b"))
	s.assigner.ConfirmLeadership(s.clock())
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		s.heartbeat(firstIncarnation("a"), seamassign.Ready)
		s.heartbeat(firstIncarnation("b"), seamassign.Ready)
	}
	return s, s.heartbeat(firstIncarnation("a"), seamassign.Ready)
}

func TestLeasesAreLongerDuringStoreOutage(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	for name, tt := range map[string]struct{ outage, lease time.Duration }{
		"the store answered recently":        {500 * time.Millisecond, cfg.Lease},
		"the store is unavailable":           {3 * time.Second, cfg.MaxLongLease},
		"a successor may soon reassign keys": {cfg.MaxStoreOutage - time.Second, time.Second + cfg.Lease},
	} {
		t.Run(name, func(t *testing.T) {
			s, reply := runDuringStoreOutage(t, tt.outage)
			if reply.Lease != tt.lease {
				t.Errorf("lease of %s, want %s", reply.Lease, tt.lease)
			}
			// The holder keeps its keys for that long, even after the store has recovered.
			s.assigner.ConfirmLeadership(s.clock())
			s.advance(tt.lease, firstIncarnation("b"))
			if s.keysOf(firstIncarnation("a")) == 0 {
				t.Error("the keys were reassigned before the lease expired")
			}
			s.advance(time.Second, firstIncarnation("b"))
			if s.keysOf(firstIncarnation("a")) != 0 {
				t.Error("the keys were not reassigned after the lease expired")
			}
		})
	}
}

func TestAssignerWithLongLeasesStaysInFinalTable(t *testing.T) {
	s, reply := runDuringStoreOutage(t, 3*time.Second)
	if got := s.assigner.FinalTable(s.clock()).Assigners; len(got) != 1 || got[0] != self {
		t.Errorf("the final table lists the assigners %v", got)
	}
	if end := seamclock.MinElapsed(s.assigner.LastLeaseEnd(), s.clock()); end < reply.Lease {
		t.Errorf("all leases expire after %s, but a lease of %s was granted", end, reply.Lease)
	}
	s.now += reply.Lease
	if got := s.assigner.FinalTable(s.clock()).Assigners; len(got) != 0 {
		t.Errorf("the final table lists the assigners %v", got)
	}
}

func TestFinalTableKeepsUnresignedPredecessor(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	resigning := seamassign.New(cfg, seamclock.Instant{}, seamtable.Assigner{Name: "resigning", Incarnation: 1, Epoch: epoch - 1}, seamclock.Instant{}, tableLeftBy(lastPredecessor), 1)
	table, revision, _ := resigning.PendingWrite()
	resigning.WriteSucceeded(table, revision+1)
	s := newHarness(t, resigning.FinalTable(seamclock.Instant{}))
	for s.keysOf(firstIncarnation("a")) > 0 && s.now < time.Minute {
		s.advance(100*time.Millisecond, firstIncarnation("b"))
	}
	if minWait := cfg.MaxStoreOutage + cfg.Lease; s.now < minWait {
		t.Errorf("the keys of an unresponsive holder were reassigned after %s, although an earlier assigner may still be active; want at least %s", s.now, minWait)
	}
}

func TestFinalTableKeepsPredecessorWithLongLeases(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	resigning := seamassign.New(cfg, seamclock.Instant{}, seamtable.Assigner{Name: "resigning", Incarnation: 1, Epoch: epoch - 1}, seamclock.Instant{}, tableLeftBy(lastPredecessor), 1)
	table, revision, _ := resigning.PendingWrite()
	resigning.WriteSucceeded(table, revision+1)
	leaseEnd := seamclock.Instant{}.Add(cfg.MaxLongLease)
	resigning.PredecessorResigned(seamclock.Instant{}, lastPredecessor, leaseEnd)
	if got := resigning.FinalTable(seamclock.Instant{}).Assigners; len(got) != 1 || got[0] != lastPredecessor {
		t.Errorf("the final table lists the assigners %v", got)
	}
	late := leaseEnd.Add(-cfg.Lease)
	resigning.Tick(late)
	if got := resigning.FinalTable(late).Assigners; len(got) != 0 {
		t.Errorf("Config.Lease before the last lease ends, the final table lists the assigners %v", got)
	}
}

func TestPredecessorsAreRemovedAfterTheirLeasesExpire(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	s := newHarness(t, tableLeftBy(firstPredecessor, lastPredecessor))
	s.advance(cfg.MaxStoreOutage+cfg.Lease+time.Second, firstIncarnation("b"))
	if p := s.assigner.Predecessors(); len(p) > 0 {
		t.Errorf("predecessors %v", p)
	}
	if p := s.assigner.FinalTable(s.clock()).Assigners; len(p) > 0 {
		t.Errorf("the final table lists the assigners %v", p)
	}
}

func TestStoredTableDropsPredecessors(t *testing.T) {
	cfg := seamassign.DefaultConfig()
	// All keys have a live holder, so no other change is written.
	t.Run("leases have expired", func(t *testing.T) {
		s := newHarness(t, tableLeftBy(firstPredecessor, lastPredecessor))
		s.advance(cfg.MaxStoreOutage+cfg.Lease+time.Second, firstIncarnation("a"))
		if diff := cmp.Diff([]seamtable.Assigner{self}, s.stored.Assigners); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("predecessors have resigned", func(t *testing.T) {
		s := newHarness(t, tableLeftBy(firstPredecessor, lastPredecessor))
		s.assigner.PredecessorResigned(s.clock(), lastPredecessor, s.clock())
		s.assigner.PredecessorResigned(s.clock(), firstPredecessor, s.clock())
		s.advance(time.Second, firstIncarnation("a"))
		if diff := cmp.Diff([]seamtable.Assigner{self}, s.stored.Assigners); diff != "" {
			t.Error(diff)
		}
	})
}

func TestStoredTableListsUnresignedPredecessors(t *testing.T) {
	s := newHarness(t, tableLeftBy(firstPredecessor, lastPredecessor))
	if diff := cmp.Diff([]seamtable.Assigner{firstPredecessor, lastPredecessor, self}, s.stored.Assigners); diff != "" {
		t.Error(diff)
	}
}

func TestLaterIncarnationAtAddressTakesKeysOfEarlierOne(t *testing.T) {
	s := newHarness(t, tableLeftBy(lastPredecessor))
	next := firstIncarnation("a")
	next.Target, next.Born = "a2", 2000
	s.advance(200*time.Millisecond, next)
	if n := s.keysOf(next); n != seamtable.Keys {
		t.Errorf("the later incarnation holds %d keys", n)
	}
}

func TestNoLeaseIsGrantedBeforeEpochIsStored(t *testing.T) {
	a := seamassign.New(seamassign.DefaultConfig(), seamclock.Instant{}, seamtable.Assigner{Name: "a", Epoch: epoch}, seamclock.Instant{}, tableLeftBy(), 1)
	if r := a.Heartbeat(seamclock.Instant{}, seamassign.Heartbeat{Holder: firstIncarnation("a"), State: seamassign.Ready}); r.Lease > 0 || r.Changed {
		t.Errorf("reply %+v", r)
	}
}

func TestTableOfLaterEpochSupersedesAssigner(t *testing.T) {
	s := newHarness(t, seamtable.Table{})
	if s.assigner.WriteUncertain(s.clock(), seamtable.Table{Epoch: epoch + 1}, 9) {
		t.Error("an assigner continued after its successor wrote the table")
	}
}

func TestLateWriteOfPredecessorIsAdopted(t *testing.T) {
	a := seamassign.New(seamassign.DefaultConfig(), seamclock.Instant{}, seamtable.Assigner{Name: "a", Epoch: epoch}, seamclock.Instant{}, seamtable.Table{Epoch: 3}, 1)
	if _, _, ok := a.PendingWrite(); !ok {
		t.Fatal("no write is pending for the new epoch")
	}
	if !a.WriteUncertain(seamclock.Instant{}, tableLeftBy(lastPredecessor), 2) {
		t.Fatal("superseded by an earlier epoch")
	}
	table, revision, _ := a.PendingWrite()
	if revision != 2 || len(table.RangesByHolder()[firstIncarnation("a")]) != 1 {
		t.Errorf("pending write of %+v at revision %d", table, revision)
	}
}
