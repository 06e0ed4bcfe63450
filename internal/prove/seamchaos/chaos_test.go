package seamchaos_test

import (
	"context"
	"testing"
	"time"

	"cardamomseam/internal/prove/seamchaos"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
)

// timeLimited holds the kinds of violations whose checks have a time limit, which a busy machine
// may exceed.
var timeLimited = map[string]bool{seamcheck.NotInForce: true, seamcheck.WorkAfterStop: true, seamcheck.FailedStop: true}

// TestShortRun runs the experiment for a short time with a fixed seed. It fails on violations,
// except for those of checks with a time limit.
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
			if timeLimited[v.Kind] {
				t.Logf("ignored because the check has a time limit: %s: %s", v.Kind, v.Detail)
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
