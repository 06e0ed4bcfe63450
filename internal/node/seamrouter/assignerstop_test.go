package seamrouter_test

import (
	"context"
	"testing"
	"time"
)

func TestTargetsHoldTheirKeysWhileTheAssignerStops(t *testing.T) {
	f := newFleet(t, keyedService, plainService, plainService, plainService)
	f.awaitServed(f.nodes[3])
	holder := f.nodes[0]
	assigner := holder.State(time.Now()).Leaders[keyedService]
	for _, n := range f.nodes[1:] {
		if n.State(time.Now()).Node != assigner {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = n.Drain(ctx) // no request is in flight
			n.stop()
		}()
	}
	var lapsed time.Duration
	for start := time.Now(); time.Since(start) < 2200*time.Millisecond; time.Sleep(time.Millisecond) {
		if !holder.target.has(9000) {
			lapsed += time.Millisecond
		}
	}
	if lapsed > 0 {
		t.Errorf("the target held its keys for %v less while their assigner stopped: the callers of requests that ran get 500", lapsed)
	}
	if current := holder.State(time.Now()).Leaders[keyedService]; current == "" || current == assigner {
		t.Errorf("the assigner is %q after the stop of %q", current, assigner)
	}
}
