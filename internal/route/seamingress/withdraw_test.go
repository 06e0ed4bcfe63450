package seamingress_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamsession"
)

func TestStreamOfWithdrawnRequestIsNotReused(t *testing.T) {
	var runs atomic.Int32
	ended := make(chan struct{})
	front, back := pair(t, func(http.ResponseWriter, *http.Request) {
		if runs.Add(1) == 1 {
			<-ended
		}
	})
	back.directory.candidates = front.directory.candidates
	back.target.announced.MaxConcurrency = 1
	for _, n := range []*node{front, back} {
		n.rules.decision.Limits.DeadlineMillis = 5000
	}
	first := send(t, back, http.MethodPost)
	awaitInFlight(back, 1)
	queued := send(t, front, http.MethodPost)
	awaitInFlight(back, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second+seamingress.FinalResponseMargin+50*time.Millisecond)
	defer cancel()
	go func() { _ = front.server.Drain(ctx, time.Second) }() // the callers' answers are checked
	if status := <-queued; status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a request that the stopping node withdrew; want 503", status)
	}
	close(ended)
	<-first
	r, _ := http.NewRequest(http.MethodGet, front.url("/book"), nil)
	if res := do(t, r); res.status != http.StatusOK {
		t.Errorf("status %d for a request that follows a withdrawn one to the same node: %s; want 200", res.status, res.body)
	}
}

func TestRequestThatWaitedLongElsewhereIsWithdrawnAtOnce(t *testing.T) {
	const untilCancel = time.Second
	for _, waited := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(waited.String(), func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			front, back, release := busyPair(t, &runs)
			first := send(t, back, http.MethodPost)
			awaitInFlight(back, 1)
			queued := send(t, front, http.MethodPost)
			awaitInFlight(back, 2)
			time.Sleep(waited)
			ctx, cancel := context.WithTimeout(t.Context(), untilCancel+seamingress.FinalResponseMargin)
			defer cancel()
			start := time.Now()
			go func() { _ = front.server.Drain(ctx, 10*time.Millisecond) }() // the caller's answer is checked
			status, took := <-queued, time.Since(start)
			release()
			<-first
			if status != http.StatusServiceUnavailable || took > untilCancel/2 {
				t.Errorf("status %d after %v for a request that had waited %v at another node when its own node was to withdraw it; want 503 at once", status, took.Round(time.Millisecond), waited)
			}
		})
	}
}

func TestStoppingNodeStartsNoIdempotentRequestElsewhereThatItCancels(t *testing.T) {
	var runs, cut atomic.Int32
	ended := make(chan struct{})
	front, back := pair(t, func(_ http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-ended
			return
		}
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			cut.Add(1)
		}
	})
	back.directory.candidates = front.directory.candidates
	back.target.announced.MaxConcurrency = 1
	for _, n := range []*node{front, back} {
		n.rules.decision.Limits.DeadlineMillis = 8000
	}
	first := send(t, back, http.MethodPost)
	awaitInFlight(back, 1)
	queued := send(t, front, http.MethodGet)
	awaitInFlight(back, 2)
	// The slot is free 100 ms before the node cancels what is in flight.
	timer := time.AfterFunc(400*time.Millisecond, func() { close(ended) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond+seamingress.FinalResponseMargin)
	defer cancel()
	_ = front.server.Drain(ctx, 10*time.Millisecond) // the caller's answer is checked
	status := <-queued
	<-first
	time.Sleep(20 * time.Millisecond)
	if status != http.StatusServiceUnavailable || cut.Load() != 0 {
		t.Errorf("status %d for a request that waited at another node until 100 ms before its own node canceled it, %d runs were cut; want 503 and none", status, cut.Load())
	}
}

// hangingHandler answers nothing until the stream's session ends.
type hangingHandler struct{}

// ServeStream waits for the end of the stream.
func (hangingHandler) ServeStream(ctx context.Context, _ seampeer.Peer, _ net.Conn) { <-ctx.Done() }

func TestAnswerIsNotHeldUntilAWithdrawalEnds(t *testing.T) {
	const work = 300 * time.Millisecond
	front, back := pair(t, func(http.ResponseWriter, *http.Request) { time.Sleep(work) })
	front.rules.decision.Limits.DeadlineMillis = 8000
	back.pool.Register(seamsession.Void, hangingHandler{})
	start := time.Now()
	answer := send(t, front, http.MethodPost)
	awaitInFlight(back, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() { _ = front.server.Drain(ctx, 10*time.Millisecond) }() // the caller's answer is checked
	status, took := <-answer, time.Since(start)
	if status != http.StatusOK || took > 2*work {
		t.Errorf("status %d after %v for a request that ran for %v while its node waited for the answer to its withdrawal; want 200 at once", status, took.Round(time.Millisecond), work)
	}
}
