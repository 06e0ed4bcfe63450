package seamingress_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// send sends a request to the node in the background. The status of its answer follows on the channel, 0 without one.
func send(t *testing.T, n *node, method string) <-chan int {
	t.Helper()
	status := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest(method, n.url("/book"), nil)
		status <- do(t, r).status
	}()
	return status
}

// awaitInFlight waits until the node has accepted this many requests for its target.
func awaitInFlight(n *node, count int) {
	for n.egress.InFlight() < count {
		time.Sleep(time.Millisecond)
	}
}

// busyPair is a pair of nodes of which back runs a request of its own caller in its only slot, until release is called.
func busyPair(t *testing.T, runs *atomic.Int32) (front, back *node, release func()) {
	t.Helper()
	ended := make(chan struct{})
	front, back = pair(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	})
	back.directory.candidates = front.directory.candidates
	back.target.announced.MaxConcurrency = 1
	for _, n := range []*node{front, back} {
		n.rules.decision.Limits.DeadlineMillis = 5000
	}
	t.Cleanup(func() { close(ended) })
	return front, back, func() { ended <- struct{}{} }
}

func TestStoppingNodeAnswersRequestsQueuedElsewhereAsNotRun(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			front, back, release := busyPair(t, &runs)
			first := send(t, back, method)
			awaitInFlight(back, 1)
			queued := send(t, front, method)
			awaitInFlight(back, 2)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			if err := front.server.Drain(ctx, 10*time.Millisecond); err != nil {
				t.Error(err)
			}
			status := <-queued
			release()
			<-first
			if n := runs.Load(); n != 1 || status != http.StatusServiceUnavailable {
				t.Errorf("status %d for a request that waited in the queue of another node while its own stopped; want 503. "+
					"The target ran %d requests, want 1: that of the other node", status, n)
			}
		})
	}
}
