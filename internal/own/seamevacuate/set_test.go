package seamevacuate_test

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/own/seamevacuate"
)

var start = time.Unix(1000, 0)

// syncedSet returns the set of a node that has read the store.
func syncedSet() *seamevacuate.Set {
	s := &seamevacuate.Set{}
	s.Synced()
	return s
}

// TestKeyedRequestsAreRefusedOnceTheyCannotWaitLonger guards against requests with a key that are refused before their keys could move,
// or that still reach the target 5 s after the operators' write.
func TestKeyedRequestsAreRefusedOnceTheyCannotWaitLonger(t *testing.T) {
	s := syncedSet()
	s.Put(start, "d1")
	e, ok := s.Snapshot().Find("d1")
	if !ok {
		t.Fatal("the evacuation is not known")
	}
	for after, want := range map[time.Duration]bool{0: false, 2999 * time.Millisecond: false, 3 * time.Second: true, time.Hour: true} {
		if got := e.RefusesKeyed(start.Add(after), false); got != want {
			t.Errorf("%v after the node learned of it: refused %v", after, got)
		}
	}
	if !e.RefusesKeyed(start, true) {
		t.Error("a request is accepted although the keys have moved")
	}
}

// TestRepeatedEvacuationKeepsItsTime guards against a grace that starts anew with each write or list.
func TestRepeatedEvacuationKeepsItsTime(t *testing.T) {
	s := syncedSet()
	if !s.Put(start, "d1") || s.Put(start.Add(time.Second), "d1") {
		t.Error("a repeated write counts as new")
	}
	if e, _ := s.Snapshot().Find("d1"); !e.LearnedAt.Equal(start) {
		t.Errorf("the evacuation began at %v", e.LearnedAt)
	}
	s.Delete("d1")
	s.Put(start.Add(time.Minute), "d1")
	if e, _ := s.Snapshot().Find("d1"); !e.LearnedAt.Equal(start.Add(time.Minute)) {
		t.Errorf("the second evacuation began at %v", e.LearnedAt)
	}
}

// TestRestartedNodeGivesNoGrace guards against a node that restarts during an evacuation and gives requests another 3 s.
func TestRestartedNodeGivesNoGrace(t *testing.T) {
	for name, learn := range map[string]func(*seamevacuate.Set){
		"store": func(s *seamevacuate.Set) { s.Put(start, "d1") },
		"peer":  func(s *seamevacuate.Set) { s.PutFromPeer(start, "d1") },
	} {
		s := &seamevacuate.Set{}
		learn(s)
		if e, ok := s.Snapshot().Find("d1"); !ok || !e.RefusesKeyed(start, false) {
			t.Errorf("%s: known %v, keyed requests are accepted", name, ok)
		}
	}
}

// TestListEndsWhatOnlyPeersTold guards against an evacuation that a node keeps forever, since its key was deleted while the node
// or the peer that told of it was away.
func TestListEndsWhatOnlyPeersTold(t *testing.T) {
	s := &seamevacuate.Set{}
	for _, domain := range []string{"d1", "d2", "d3"} {
		s.PutFromPeer(start, domain)
	}
	s.Put(start, "d2")
	s.Put(start, "d4")
	var ended []string
	for _, e := range s.Synced() {
		ended = append(ended, e.Domain)
	}
	if len(ended) != 2 || !cmp.Equal(s.Snapshot().Domains(), []string{"d2", "d4"}) {
		t.Errorf("ended %v, known %v", ended, s.Snapshot().Domains())
	}
	if s.PutFromPeer(start, "d1") || len(s.Synced()) > 0 {
		t.Error("a peer's state is used after the store's")
	}
}

// TestSnapshotChangesWithTheSet guards against candidates that are not built again, or that change while they are in use.
func TestSnapshotChangesWithTheSet(t *testing.T) {
	s := syncedSet()
	empty := s.Snapshot()
	s.Put(start, "d2")
	one := s.Snapshot()
	s.Put(start, "d2")
	if one == empty || one != s.Snapshot() {
		t.Error("the snapshot must change with the set and only then")
	}
	s.Put(start, "d1")
	if !cmp.Equal(s.Snapshot().Domains(), []string{"d1", "d2"}) || !cmp.Equal(one.Domains(), []string{"d2"}) {
		t.Errorf("domains %v, before %v", s.Snapshot().Domains(), one.Domains())
	}
	if _, ok := s.Delete("d3"); ok {
		t.Error("an unknown evacuation ended")
	}
	if s.Put(start, "") {
		t.Error("a key without a domain counts")
	}
}

// TestSetUnderLoad guards against data races between the feed, which changes the set, and the requests, which read it.
func TestSetUnderLoad(t *testing.T) {
	s := syncedSet()
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			for range 2000 {
				s.Snapshot().Find("d1")
			}
		})
	}
	for range 500 {
		s.Put(start, "d1")
		s.Delete("d1")
	}
	running.Wait()
}

// TestEndIsToldBeforeItIsVisible guards against requests that are accepted before the node has prepared for them.
func TestEndIsToldBeforeItIsVisible(t *testing.T) {
	for name, end := range map[string]func(*seamevacuate.Set){
		"deleted": func(s *seamevacuate.Set) { s.Delete("d1") },
		"synced":  func(s *seamevacuate.Set) { s.Synced() },
	} {
		s := &seamevacuate.Set{}
		told := 0
		s.BeforeEnd = func(e seamevacuate.Evacuation) {
			told++
			if _, ok := s.Snapshot().Find("d1"); !ok || e.Domain != "d1" {
				t.Errorf("%s: told of the end of %q, with d1 evacuated: %v", name, e.Domain, ok)
			}
		}
		s.PutFromPeer(start, "d1")
		end(s)
		s.Delete("d1")
		if _, ok := s.Snapshot().Find("d1"); ok || told != 1 {
			t.Errorf("%s: told %d times, still evacuated: %v", name, told, ok)
		}
	}
}
