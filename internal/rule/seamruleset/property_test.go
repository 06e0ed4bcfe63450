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

// spreading is a store's log of changes and the sets of some nodes.
type spreading struct {
	log  []seamrule.Version
	sets []*seamruleset.Set
	// highest are the revisions that the sets had at the last check.
	highest []int64
}

// at returns the latest version of each service up to the revision.
func (s *spreading) at(revision int64) map[string]seamrule.Version {
	state := map[string]seamrule.Version{}
	for _, v := range s.log {
		if v.Revision <= revision {
			state[v.Service] = v
		}
	}
	return state
}

// record adds a change to the log.
func (s *spreading) record(t *rapid.T) {
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

// list lets a set read the store, at times an old copy of it.
func (s *spreading) list(t *rapid.T) {
	n := rapid.IntRange(0, len(s.log)).Draw(t, "length")
	revision := int64(0)
	if n > 0 {
		revision = s.log[n-1].Revision
	}
	var versions []seamrule.Version
	for _, v := range s.at(revision) {
		versions = append(versions, v)
	}
	if _, err := s.any(t, "reader").Apply(now, seamruleset.NewBundle(versions)); err != nil {
		t.Fatal(err)
	}
}

// fetch lets a set fetch from another one, which may lag behind it or have no rules.
func (s *spreading) fetch(t *rapid.T) {
	from, to := s.any(t, "from"), s.any(t, "to")
	server, client := net.Pipe()
	defer client.Close()
	go func() {
		_ = from.ServeStream(context.Background(), seampeer.Peer{}, server)
		server.Close()
	}()
	_ = to.Fetch(context.Background(), client, to.Revision()) // fails if the peer has no rules
}

// restart makes a node forget its rules.
func (s *spreading) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(s.sets)-1).Draw(t, "restarted")
	s.sets[i] = newSet()
	s.highest[i] = 0
}

func (s *spreading) any(t *rapid.T, label string) *seamruleset.Set {
	return s.sets[rapid.IntRange(0, len(s.sets)-1).Draw(t, label)]
}

// check compares each set with the store's state at the set's revision.
func (s *spreading) check(t *rapid.T) {
	for i, set := range s.sets {
		b := set.Bundle()
		if b.Revision < s.highest[i] {
			t.Fatalf("set %d went from revision %d to %d", i, s.highest[i], b.Revision)
		}
		s.highest[i] = b.Revision
		want := s.at(b.Revision)
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

// TestSetsAreStatesOfTheStore spreads changes at random between nodes that lag, read old
// copies and restart.
func TestSetsMatchStoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &spreading{sets: []*seamruleset.Set{newSet(), newSet(), newSet()}, highest: make([]int64, 3)}
		t.Repeat(map[string]func(*rapid.T){
			"record":  s.record,
			"list":    s.list,
			"fetch":   s.fetch,
			"restart": s.restart,
			"":        s.check,
		})
	})
}
