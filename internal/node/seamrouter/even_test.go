package seamrouter_test

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestEvenNodeSpreadsAndAvoidsALeavingTarget guards against a policy that the setting does not enable, and against requests to a
// target that is leaving while the policy has room for noise.
func TestEvenNodeSpreadsAndAvoidsALeavingTarget(t *testing.T) {
	f := newFleet(t, plainService, plainService, plainService)
	n := f.nodes[0]
	n.stop()
	n.settings.Balance.Policy = "even"
	f.start(n)
	f.await("a response", func() bool {
		a, err := f.send(n, http.MethodPost, "/book/1", "")
		return err == nil && a.status == http.StatusOK
	})
	burst := func() {
		var all sync.WaitGroup
		for range 24 {
			all.Go(func() {
				if a, err := f.send(n, http.MethodPost, "/book/1?work=100ms", ""); err != nil || a.status != http.StatusOK {
					t.Errorf("status %d, error %v", a.status, err)
				}
			})
		}
		all.Wait()
	}
	// runsOf returns the number of requests that each target runs meanwhile.
	runsOf := func(during func()) (runs [3]int) {
		for i, other := range f.nodes {
			other.target.recordArrivals()
			defer func() { runs[i] = len(other.target.recorded()) }()
		}
		during()
		return runs
	}
	f.await("requests at all targets", func() bool {
		runs := runsOf(burst)
		return runs[0] > 0 && runs[1] > 0 && runs[2] > 0
	})
	f.announce(f.nodes[2], true)
	f.await("the node learns that a target leaves", func() bool { return runsOf(burst)[2] == 0 })
	time.Sleep(100 * time.Millisecond)
	if runs := runsOf(burst); runs[2] != 0 || runs[0] == 0 || runs[1] == 0 {
		t.Errorf("the targets ran %v requests, the last one is leaving", runs)
	}
}
