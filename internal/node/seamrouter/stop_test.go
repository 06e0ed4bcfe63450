package seamrouter_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

func TestStoppingNodeStartsNoRequestThatItsStopWouldCut(t *testing.T) {
	f := newFleet(t, plainService, plainService, keyedService)
	stopping, entry := f.nodes[0], f.nodes[2]
	for _, n := range f.nodes[:2] {
		f.await("requests at "+n.target.name, func() bool {
			a, err := f.send(entry, http.MethodPost, "/book/1", "")
			return err == nil && a.body == n.target.name
		})
	}
	f.await("requests through the node that will stop", func() bool {
		a, err := f.send(stopping, http.MethodPost, "/book/1", "")
		return err == nil && a.status == http.StatusOK
	})
	runs := func() int { return stopping.target.runCount() + f.nodes[1].target.runCount() }
	before := runs()
	var callers sync.WaitGroup
	// A caller of the stopping node itself keeps it from ending early.
	callers.Go(func() { _, _ = f.send(stopping, http.MethodPost, "/book/own?work=1800ms", "") })
	f.await("the caller's request", func() bool { return runs() > before })
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_ = stopping.Drain(ctx) // returns an error if requests are in flight at its end; the callers report that
		stopping.stop()
	}()
	time.Sleep(500 * time.Millisecond)
	for range 7 {
		callers.Go(func() {
			a, err := f.send(entry, http.MethodPost, "/book/2?work=2100ms", "")
			if err != nil || a.status != http.StatusOK {
				t.Errorf("a request sent to a running node while another node stops: status %d, %q, %v; want 200", a.status, a.body, err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	<-drained
}
