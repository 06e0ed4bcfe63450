package seamassign_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

const (
	// placedTargets and placedDomains are those of the larger keyed service of docs/LOAD.md.
	placedTargets = 34
	placedDomains = 6
	// placedStep is the time between two heartbeats of a holder. It releases a range in the step after the one in which it is asked.
	placedStep = 300 * time.Millisecond
)

// placedService plays the holders of a service in several failure domains, each with several ranges, and a store.
type placedService struct {
	t        *testing.T
	assigner *seamassign.Assigner
	now      time.Duration
	revision int64
	stored   seamtable.Table
	holders  []*placedHolder
}

type placedHolder struct {
	seamassign.Heartbeat
	// releasing are the ranges that the holder is to release, and silent means that it sends nothing.
	releasing []seamtable.Range
	silent    bool
}

// newPlacedService starts a service whose holders have several ranges each and the given rate of requests.
func newPlacedService(t *testing.T, targets, domains int, rate float64) *placedService {
	t.Helper()
	const rangesPerTarget = 6
	s := &placedService{t: t, stored: seamtable.Table{Service: "calendar", Epoch: 1, Fence: 1000}, revision: 1}
	for i := range targets {
		s.holders = append(s.holders, &placedHolder{Heartbeat: seamassign.Heartbeat{
			Epoch: epoch, Holder: firstIncarnation(fmt.Sprintf("t%02d", i)), State: seamassign.Ready, NoEarlierGrants: true,
			Node: seampeer.Peer{Name: fmt.Sprintf("n%02d", i), Region: fmt.Sprint("r", i%domains/2), Domain: fmt.Sprint("d", i%domains)},
			Load: seamtable.Load{MaxConcurrency: 12, ServiceTime: 0.2, Rate: rate},
		}})
	}
	ranges := targets * rangesPerTarget
	for i := range ranges {
		span := seamtable.Span{From: uint32(i * seamtable.Keys / ranges), To: uint32((i+1)*seamtable.Keys/ranges) - 1}
		h := s.holders[i%targets]
		s.stored.Ranges = append(s.stored.Ranges, seamtable.Range{Span: span, Holder: h.Holder, Fence: uint64(i + 1), Handover: "state"})
		h.Load.Chunks = append(h.Load.Chunks, seamtable.Chunk{Span: span, Rate: rate / rangesPerTarget})
	}
	s.elect(epoch)
	s.step()
	return s
}

// elect starts an assigner that knows the table only.
func (s *placedService) elect(epoch uint64) {
	self := seamtable.Assigner{Name: "a", Incarnation: epoch, Epoch: epoch}
	s.assigner = seamassign.New(seamassign.DefaultConfig(), s.clock(), self, seamclock.Instant{}, s.stored, s.revision)
	for _, h := range s.holders {
		h.Epoch, h.releasing = epoch, nil
	}
	s.write()
}

func (s *placedService) clock() seamclock.Instant { return seamclock.Instant{Mono: s.now, Wall: s.now} }

func (s *placedService) write() {
	if table, _, ok := s.assigner.PendingWrite(); ok {
		s.revision++
		s.stored = table
		s.assigner.WriteSucceeded(table, s.revision)
	}
}

// step plays the time between two heartbeats.
func (s *placedService) step() {
	s.assigner.ConfirmLeadership(s.clock())
	for _, h := range s.holders {
		if h.silent {
			continue
		}
		h.Released = nil
		for _, r := range h.releasing {
			h.Released = append(h.Released, seamassign.Released{Span: r.Span, Fence: r.Fence, Handover: "state"})
		}
		h.releasing = s.assigner.Heartbeat(s.clock(), h.Heartbeat).Release
	}
	for end := s.now + placedStep; s.now < end; s.now += 50 * time.Millisecond {
		s.assigner.Tick(s.clock())
		s.write()
	}
}

func (s *placedService) keysOf(h *placedHolder) int {
	n := 0
	for _, r := range s.stored.RangesByHolder()[h.Holder] {
		n += r.Len()
	}
	return n
}

// keysIn returns the number of keys in a failure domain.
func (s *placedService) keysIn(domain string) int {
	n := 0
	for _, h := range s.holders {
		if h.Node.Domain == domain {
			n += s.keysOf(h)
		}
	}
	return n
}

func (s *placedService) exclude(domains ...string) {
	s.assigner.SetPlacement(seamtable.Placement{ExcludedDomains: domains})
}

// awaitMoved plays until no keys are left in the domain, and returns how long that took.
func (s *placedService) awaitMoved(domain string) time.Duration {
	s.t.Helper()
	started := s.now
	for s.keysIn(domain) > 0 {
		if s.now-started > 20*time.Second {
			s.t.Fatalf("%d keys are left in the domain after %v", s.keysIn(domain), s.now-started)
		}
		s.step()
	}
	return s.now - started
}

// checkComplete fails if a key has no holder or has lost the state that was handed over.
func (s *placedService) checkComplete() {
	s.t.Helper()
	if free := s.stored.FreeSpans(); len(free) > 0 {
		s.t.Errorf("keys without a holder: %v", free)
	}
	for _, r := range s.stored.Ranges {
		if r.Handover != "state" {
			s.t.Errorf("range %+v lost the state of its former holder", r)
		}
	}
}

// TestKeysOfADomainMoveInTimeToManyHolders guards against requests that still reach an evacuated domain 5 s after the operators' write, or
// that wait for keys all that time, and against a few receivers that get the load of a sixth of all targets.
func TestKeysOfADomainMoveInTimeToManyHolders(t *testing.T) {
	for _, rate := range []float64{0, 10, 45} { // of the 60 requests a second that a target can serve
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			s := newPlacedService(t, placedTargets, placedDomains, rate)
			before := map[string]int{}
			for _, h := range s.holders {
				before[h.Holder.Target] = s.keysOf(h)
			}
			s.exclude("d3")
			took := s.awaitMoved("d3")
			if took > 2*time.Second {
				t.Errorf("the keys were moved after %v", took)
			}
			receivers := 0
			for _, h := range s.holders {
				added := s.keysOf(h) - before[h.Holder.Target]
				if h.Node.Domain == "d3" {
					continue
				}
				if added > 0 {
					receivers++
				}
				// An even division gives each of the others a fifth of what it had.
				if added > before[h.Holder.Target]/2 {
					t.Errorf("%s got %d keys in addition to %d", h.Holder.Target, added, before[h.Holder.Target])
				}
			}
			if receivers < 20 {
				t.Errorf("%d holders got the keys of 6, want most of the 28 others", receivers)
			}
			if n := len(s.stored.Ranges); n > placedTargets*6+2*placedTargets {
				t.Errorf("the table has %d ranges, each of which costs a grant", n)
			}
			s.checkComplete()
		})
	}
}

// TestKeysOfADomainMoveInProportionToFreeCapacity guards against a busy or limited receiver that gets as many requests as an idle one.
func TestKeysOfADomainMoveInProportionToFreeCapacity(t *testing.T) {
	s := newPlacedService(t, 12, 3, 30)
	limited, idle := s.holders[0], s.holders[3]
	limited.Load.MaxRate = 32
	idle.Load.ServiceTime = 0.1
	s.step()
	before := [2]int{s.keysOf(limited), s.keysOf(idle)}
	s.exclude("d1")
	s.awaitMoved("d1")
	toLimited, toIdle := s.keysOf(limited)-before[0], s.keysOf(idle)-before[1]
	if toLimited*5 > toIdle {
		t.Errorf("a target with room for 2 requests a second got %d keys, one with room for 90 got %d", toLimited, toIdle)
	}
}

// TestAHolderTakesOverFewRangesAtATime guards against a burst of releases, writes and grants that a small receiver can't keep up with.
func TestAHolderTakesOverFewRangesAtATime(t *testing.T) {
	s := newPlacedService(t, 12, 3, 30)
	s.exclude("d1", "d2") // 48 ranges go to the four holders that are left
	s.assigner.Tick(s.clock())
	asked := 0
	for _, h := range s.holders {
		r, _ := s.assigner.Update(h.Holder)
		asked += len(r.Release)
	}
	if asked == 0 || asked > 4*8 {
		t.Errorf("%d ranges are moving to 4 holders at once", asked)
	}
	s.awaitMoved("d1")
	s.awaitMoved("d2")
	s.checkComplete()
}

// TestExcludedHoldersGetNoKeys guards against keys that are assigned to a domain while it is evacuated: free ones, those of a holder
// that leaves, and those that balance the load or go to a new holder.
func TestExcludedHoldersGetNoKeys(t *testing.T) {
	s := newPlacedService(t, 12, 3, 30)
	s.exclude("d1")
	s.awaitMoved("d1")
	s.holders[0].State = seamassign.Leaving
	s.holders[3].State = seamassign.Dead
	s.holders[2].Load.Rate = 100 // more than it can serve
	for range 20 {
		s.step()
		if n := s.keysIn("d1"); n > 0 {
			t.Fatalf("%d keys were assigned to the evacuated domain", n)
		}
	}
	if s.keysOf(s.holders[0]) > 0 || len(s.stored.FreeSpans()) > 0 {
		t.Errorf("the leaving holder has %d keys, free are %v", s.keysOf(s.holders[0]), s.stored.FreeSpans())
	}
}

// TestKeysStayWithoutAnAllowedHolder guards against keys that are taken from the last domain of a service, or that lose their state
// when the domain that they move to is evacuated as well.
func TestKeysStayWithoutAnAllowedHolder(t *testing.T) {
	for _, asked := range []bool{false, true} {
		t.Run(fmt.Sprint("asked before ", asked), func(t *testing.T) {
			s := newPlacedService(t, 8, 2, 10)
			if asked {
				s.exclude("d0")
				s.assigner.Tick(s.clock())
			}
			s.exclude("d0", "d1")
			for range 10 {
				s.step()
			}
			if s.keysIn("d0")+s.keysIn("d1") != seamtable.Keys {
				t.Errorf("%d keys have a holder", s.keysIn("d0")+s.keysIn("d1"))
			}
			s.checkComplete()
			s.exclude("d0")
			s.awaitMoved("d0")
			s.checkComplete()
		})
	}
}

// TestMoveToADomainThatIsEvacuatedMeanwhileGoesElsewhere guards against keys that are sent from one evacuated domain to another, also when
// they are released before the next tick of the assigner, and against ranges that are cut into pieces for it.
func TestMoveToADomainThatIsEvacuatedMeanwhileGoesElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name      string
		plan      func(*placedService)
		maxRanges int
	}{
		{"planned", func(s *placedService) { s.assigner.Tick(s.clock()) }, 100},
		{"released", func(s *placedService) { s.assigner.Tick(s.clock()); s.step() }, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newPlacedService(t, 12, 3, 10)
			s.exclude("d0")
			tt.plan(s)
			s.exclude("d0", "d1")
			most := s.keysIn("d1")
			for s.keysIn("d0")+s.keysIn("d1") > 0 && s.now < 10*time.Second {
				s.step()
				if n := s.keysIn("d1"); n > most {
					t.Fatalf("the second evacuated domain has %d keys, %d before", n, most)
				}
				most = s.keysIn("d1")
			}
			if s.keysIn("d2") != seamtable.Keys {
				t.Errorf("the domain that is left has %d keys", s.keysIn("d2"))
			}
			if n := len(s.stored.Ranges); n > tt.maxRanges {
				t.Errorf("the table has %d ranges, 72 before", n)
			}
			s.checkComplete()
		})
	}
}

// TestReinstatedDomainKeepsWhatHasNotMoved guards against moves that go on after the operators have withdrawn their request, and against
// holders that get no keys afterwards.
func TestReinstatedDomainKeepsWhatHasNotMoved(t *testing.T) {
	s := newPlacedService(t, 12, 3, 30)
	s.exclude("d1", "d2") // more than can move at once
	s.step()
	s.exclude()
	for range 4 {
		s.step()
	}
	left := s.keysIn("d1") + s.keysIn("d2")
	if left < seamtable.Keys/8 {
		t.Errorf("%d keys are left in the domains that were reinstated after %v", left, placedStep)
	}
	for range 20 {
		s.step()
	}
	for _, h := range s.holders {
		if s.keysOf(h) == 0 {
			t.Errorf("%s has no keys 6 s after its domain was reinstated", h.Holder.Target)
		}
	}
}

// TestNewAssignerGoesOnWithAnEvacuation guards against keys that stay in the domain because the assigner that moved them is lost.
func TestNewAssignerGoesOnWithAnEvacuation(t *testing.T) {
	s := newPlacedService(t, placedTargets, placedDomains, 30)
	s.exclude("d3")
	s.step()
	s.elect(epoch + 1)
	s.exclude("d3")
	if took := s.awaitMoved("d3"); took > 2500*time.Millisecond {
		t.Errorf("the keys were moved %v after the election", took)
	}
	s.checkComplete()
}

// TestKeysOfADomainWithoutPowerGoToAllowedHolders guards against keys that wait for a release by holders that are gone, or that go to
// another evacuated domain when their leases have expired.
func TestKeysOfADomainWithoutPowerGoToAllowedHolders(t *testing.T) {
	s := newPlacedService(t, 12, 3, 30)
	s.exclude("d0", "d1")
	for _, h := range s.holders {
		h.silent = h.Node.Domain == "d0"
	}
	if took := s.awaitMoved("d0"); took > 4*time.Second {
		t.Errorf("the keys were reassigned after %v, leases last 2 s", took)
	}
	s.awaitMoved("d1")
	if s.keysIn("d2") != seamtable.Keys {
		t.Errorf("the domain that is left has %d keys", s.keysIn("d2"))
	}
}

// TestPlacementByRegionMovesKeys guards against owners in regions that the routes to the service don't allow.
func TestPlacementByRegionMovesKeys(t *testing.T) {
	s := newPlacedService(t, 12, 6, 10)
	s.assigner.SetPlacement(seamtable.Placement{Regions: []string{"r0", "r1"}, ExcludedDomains: []string{"d0"}})
	for _, domain := range []string{"d0", "d4", "d5"} {
		s.awaitMoved(domain)
	}
	if n := s.keysIn("d1") + s.keysIn("d2") + s.keysIn("d3"); n != seamtable.Keys {
		t.Errorf("the allowed domains have %d keys", n)
	}
	s.checkComplete()
}
