package seamruleset_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"pgregory.net/rapid"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
)

// simulation models the store's log of changes and the rule sets of some nodes.
type simulation struct {
	log  []seamrule.Version
	sets []*seamruleset.Set
	// highest holds the revision of each set at the last check.
	highest []int64
}

// stateAt returns the latest version of each service up to the revision.
func (s *simulation) stateAt(revision int64) map[string]seamrule.Version {
	state := map[string]seamrule.Version{}
	for _, v := range s.log {
		if v.Revision <= revision {
			state[v.Service] = v
		}
	}
	return state
}

// record appends a change to the log.
func (s *simulation) record(t *rapid.T) {
	revision := int64(rapid.IntRange(1, 3).Draw(t, "step"))
	if n := len(s.log); n > 0 {
		revision += s.log[n-1].Revision
	}
	s.log = append(s.log, seamrule.Version{
		Service:  rapid.SampledFrom([]string{"booker", "intake", "tally"}).Draw(t, "service"),
		Revision: revision,
		Deleted:  rapid.Bool().Draw(t, "deleted"),
		Document: seamrule.Document{Selectors: []seamrule.Selector{{Name: fmt.Sprintf("r%d", revision)}}},
	})
	last := &s.log[len(s.log)-1]
	last.Document.Service = last.Service
}

// list applies a list of the store's entries to a set. The list may be a stale read.
func (s *simulation) list(t *rapid.T) {
	n := rapid.IntRange(0, len(s.log)).Draw(t, "length")
	revision := int64(0)
	if n > 0 {
		revision = s.log[n-1].Revision
	}
	var versions []seamrule.Version
	for _, v := range s.stateAt(revision) {
		versions = append(versions, v)
	}
	if _, err := s.anySet(t, "reader").Apply(now, seamruleset.NewBundle(versions)); err != nil {
		t.Fatal(err)
	}
}

// fetch makes a set fetch from another one, which may lag behind it or have no rules.
func (s *simulation) fetch(t *rapid.T) {
	from, to := s.anySet(t, "from"), s.anySet(t, "to")
	server, client := net.Pipe()
	defer client.Close()
	go func() {
		_ = from.ServeStream(context.Background(), seampeer.Peer{}, server)
		server.Close()
	}()
	_ = to.Fetch(context.Background(), client, to.Revision()) // fails if the peer has no rules
}

// restart replaces a set by a new one without rules.
func (s *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(s.sets)-1).Draw(t, "restarted")
	s.sets[i] = newSet()
	s.highest[i] = 0
}

func (s *simulation) anySet(t *rapid.T, label string) *seamruleset.Set {
	return s.sets[rapid.IntRange(0, len(s.sets)-1).Draw(t, label)]
}

// check compares each set with the store's state at the set's revision.
func (s *simulation) check(t *rapid.T) {
	for i, set := range s.sets {
		b := set.Bundle()
		if b.Revision < s.highest[i] {
			t.Fatalf("set %d went from revision %d to %d", i, s.highest[i], b.Revision)
		}
		s.highest[i] = b.Revision
		want := s.stateAt(b.Revision)
		if len(b.Versions) != len(want) {
			t.Fatalf("set %d at revision %d has %d services, want %d", i, b.Revision, len(b.Versions), len(want))
		}
		for _, v := range b.Versions {
			if w := want[v.Service]; v.Revision != w.Revision || v.Deleted != w.Deleted || v.Document.Selectors[0].Name != w.Document.Selectors[0].Name {
				t.Fatalf("set %d at revision %d has %+v, want %+v", i, b.Revision, v, w)
			}
		}
	}
}

// TestSetsMatchStoreState propagates changes in random order between nodes that lag, do stale reads
// and restart. Each set must equal the store's state at the set's revision, which must not decrease.
func TestSetsMatchStoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{sets: []*seamruleset.Set{newSet(), newSet(), newSet()}, highest: make([]int64, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"record":  s.record,
			"list":    s.list,
			"fetch":   s.fetch,
			"restart": s.restart,
			"":        s.check,
		})
	})
}
