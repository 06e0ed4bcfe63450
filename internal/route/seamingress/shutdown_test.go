package seamingress_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/route/seamingress"
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

// sendWithHeldBody sends a request whose body is complete once finish is called.
func sendWithHeldBody(t *testing.T, n *node) (status <-chan int, finish func()) {
	t.Helper()
	body, rest := io.Pipe()
	answered := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, n.url("/book"), body)
		r.ContentLength = 2
		answered <- do(t, r).status
	}()
	write := func() {
		if _, err := rest.Write([]byte("x")); err != nil {
			t.Errorf("sending the body: %v", err)
		}
	}
	write()
	return answered, write
}

func TestStoppingNodeStartsNothingElsewhereThatItCancels(t *testing.T) {
	const (
		limit = 850 * time.Millisecond
		work  = 400 * time.Millisecond
		// cancelAt is the time after SIGTERM at which the node cancels what is in flight.
		cancelAt = limit - seamingress.FinalResponseMargin
	)
	for _, tt := range []struct {
		name string
		// at is the time after SIGTERM at which the request could start.
		at    time.Duration
		keyed bool
		send  func(t *testing.T, front, back *node) (status <-chan int, start func())
	}{
		{"a slot is free shortly before", 0, false, func(t *testing.T, front, back *node) (<-chan int, func()) {
			back.directory.candidates = front.directory.candidates
			back.target.announced.MaxConcurrency = 1
			_ = send(t, back, http.MethodPost)
			awaitInFlight(back, 1)
			return send(t, front, http.MethodPost), func() {}
		}},
		{"its body is complete shortly before", cancelAt - 100*time.Millisecond, false, func(t *testing.T, front, _ *node) (<-chan int, func()) {
			return sendWithHeldBody(t, front)
		}},
		{"its body is complete shortly after", cancelAt + 100*time.Millisecond, false, func(t *testing.T, front, _ *node) (<-chan int, func()) {
			return sendWithHeldBody(t, front)
		}},
		{"its key has an owner again shortly before", cancelAt - 100*time.Millisecond, true, func(t *testing.T, front, back *node) (<-chan int, func()) {
			front.directory.owner = back.peer
			back.owners.refuseNext(back.peer.Address, 1<<20)
			return send(t, front, http.MethodPost), func() { back.owners.refuseNext("", 0) }
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var runs, cut atomic.Int32
			front, back := pair(t, func(_ http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body) // the HTTP library notices a close only once the body is read
				select {
				case <-time.After(work):
				case <-r.Context().Done():
					cut.Add(1)
				}
			})
			front.rules.decision.Limits.DeadlineMillis = 5000
			if status := <-send(t, front, http.MethodPost); status != http.StatusOK {
				t.Fatalf("status %d before the stop", status)
			}
			front.rules.decision.Keyed = tt.keyed
			answered, start := tt.send(t, front, back)
			time.Sleep(20 * time.Millisecond)
			timer := time.AfterFunc(tt.at, start)
			defer timer.Stop()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_ = front.server.Drain(ctx, 10*time.Millisecond) // an error means that callers got no response, as the status tells
			status := <-answered
			time.Sleep(20 * time.Millisecond)
			if status != http.StatusServiceUnavailable && status != http.StatusOK || cut.Load() != 0 {
				t.Errorf("status %d, want 503 or 200: about 100 ms from its cancellations a stopping node sent a request to another node, where a run takes %v; %d runs were cut", status, work, cut.Load())
			}
		})
	}
}
