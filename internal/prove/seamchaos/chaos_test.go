package seamchaos_test

import (
	"context"
	"testing"
	"time"

	"cardamomseam/internal/prove/seamchaos"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
)

// timed are the promises whose checks have a limit of time, which a busy machine may miss.
var timed = map[string]bool{seamcheck.NotInForce: true, seamcheck.WorkAfterStop: true, seamcheck.FailedStop: true}

// TestShortRun makes a short run with a fixed seed. It judges promises, not times.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	o := seamexperiment.Options{Seed: 1, Duration: 10 * time.Second, Nodes: 6, Rate: 60, Logf: t.Logf}
	results, err := seamchaos.Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		for _, v := range r.Violations {
			if timed[v.Kind] {
				t.Logf("not judged: %s: %s", v.Kind, v.Detail)
				continue
			}
			t.Errorf("%s: %s", v.Kind, v.Detail)
		}
		if t.Failed() {
			for _, line := range r.Trace {
				t.Log(line)
			}
		}
	}
}
