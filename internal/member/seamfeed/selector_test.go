package seamfeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seampeer"
)

var start = time.Unix(1000, 0)

// candidate returns a node of a failure domain such as "ost-1" in region "ost".
func candidate(name, domain string, capacity int) seamfeed.Candidate {
	return seamfeed.Candidate{Peer: seampeer.Peer{Name: name, Domain: domain, Region: domain[:3]}, Capacity: capacity}
}

// twoDomains are two readers and two other nodes in each of two failure domains.
func twoDomains() []seamfeed.Candidate {
	var all []seamfeed.Candidate
	for _, domain := range []string{"ost-1", "ost-2"} {
		for i := range 4 {
			capacity := 100
			if i < seamfeed.ReadersPerDomain {
				capacity = 500
			}
			all = append(all, candidate(fmt.Sprintf("%s-n%d", domain, i), domain, capacity))
		}
	}
	return all
}

func TestReadersAreTheLargestNodesOfADomain(t *testing.T) {
	var names []string
	for _, r := range seamfeed.Readers(twoDomains(), "ost-2") {
		names = append(names, r.Peer.Name)
	}
	// The order of equally large nodes goes by a hash.
	if len(names) != 2 || names[0] == names[1] {
		t.Fatalf("readers are %q, want two nodes", names)
	}
	for _, name := range names {
		if name != "ost-2-n0" && name != "ost-2-n1" {
			t.Errorf("%s is a reader, want the two largest nodes", name)
		}
	}
}

func TestSource(t *testing.T) {
	const local, other, remote = "ost-1-n0", "ost-1-n1", "ost-2-n"
	for name, tt := range map[string]struct {
		self      string
		reachable bool
		failed    []string
		want      []string
		allowDown bool
	}{
		"reader":                                {self: local, reachable: true, want: []string{"store"}},
		"other node":                            {self: "ost-1-n3", reachable: true, want: []string{local, other}},
		"one reader failed":                     {self: "ost-1-n3", reachable: true, failed: []string{local}, want: []string{other}},
		"both readers failed":                   {self: "ost-1-n3", reachable: true, failed: []string{local, other}, want: []string{"store"}},
		"both failed, store out of reach":       {self: "ost-1-n3", failed: []string{local, other}, want: []string{remote + "0", remote + "1"}},
		"all failed, store out of reach":        {self: "ost-1-n3", failed: []string{local, other, remote + "0", remote + "1"}, want: []string{local, other}, allowDown: true},
		"reader without the store":              {self: local, want: []string{other}},
		"reader without the store, all failed":  {self: local, failed: []string{other, remote + "0", remote + "1"}, want: []string{"store"}},
		"failed reader is used again afterward": {self: "ost-1-n3", reachable: true, failed: nil, want: []string{local, other}},
	} {
		t.Run(name, func(t *testing.T) {
			s := seamfeed.NewSelector()
			for _, reader := range tt.failed {
				s.Failed(start, reader, 0)
			}
			v := seamfeed.View{Self: candidate(tt.self, "ost-1", 0).Peer, Candidates: twoDomains(), StoreReachable: tt.reachable}
			got := s.Select(start.Add(time.Second), v)
			if got.AllowDown != tt.allowDown {
				t.Errorf("allow down %t, want %t", got.AllowDown, tt.allowDown)
			}
			name := "store"
			if !got.FromStore() {
				name = got.Reader.Name
			}
			for _, want := range tt.want {
				if name == want {
					return
				}
			}
			t.Errorf("source is %s, want one of %q", name, tt.want)
		})
	}
}

func TestAvoidedReaderIsUsedAgain(t *testing.T) {
	s := seamfeed.NewSelector()
	v := seamfeed.View{Self: candidate("ost-1-n3", "ost-1", 0).Peer, Candidates: twoDomains(), StoreReachable: true}
	first := s.Select(start, v)
	var avoided []time.Duration
	now := start
	for range 4 {
		s.Failed(now, first.Reader.Name, 0)
		failedAt := now
		for s.Select(now, v) != first {
			now = now.Add(100 * time.Millisecond)
		}
		avoided = append(avoided, now.Sub(failedAt))
	}
	if d := cmp.Diff([]time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 12 * time.Second}, avoided); d != "" {
		t.Error(d)
	}
}

func TestSwitchToBetterSource(t *testing.T) {
	v := seamfeed.View{Self: candidate("ost-1-n3", "ost-1", 0).Peer, Candidates: twoDomains(), StoreReachable: true}
	reader := func(name, domain string) seamfeed.Source {
		return seamfeed.Source{Reader: candidate(name, domain, 0).Peer}
	}
	for name, tt := range map[string]struct {
		current seamfeed.Source
		want    bool
	}{
		"from the store":                  {seamfeed.Source{}, true},
		"from a reader of the domain":     {reader("ost-1-n0", "ost-1"), false},
		"from a former reader":            {reader("ost-1-n2", "ost-1"), false},
		"from a reader of another domain": {reader("ost-2-n0", "ost-2"), true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := seamfeed.NewSelector().ShouldSwitch(start, v, tt.current); got != tt.want {
				t.Errorf("switch: %t, want %t", got, tt.want)
			}
		})
	}
}

func TestBackupIsAnotherReader(t *testing.T) {
	current := seamfeed.Source{Reader: candidate("ost-1-n0", "ost-1", 0).Peer}
	v := seamfeed.View{Self: candidate("ost-1-n3", "ost-1", 0).Peer, Candidates: twoDomains(), StoreReachable: true}
	s := seamfeed.NewSelector()
	if got, ok := s.SelectBackup(start, v, current); !ok || got.Reader.Name != "ost-1-n1" {
		t.Errorf("backup is %s, want ost-1-n1", got)
	}
	s.Failed(start, "ost-1-n1", 0)
	if got, ok := s.SelectBackup(start, v, current); !ok || got.Reader.Domain != "ost-2" {
		t.Errorf("backup is %s, want a reader of ost-2 while ost-1-n1 is avoided", got)
	}
	if got, ok := s.SelectBackup(start, v, seamfeed.Source{}); ok {
		t.Errorf("backup of the store is %s, want none", got)
	}
}
