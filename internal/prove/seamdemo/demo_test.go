package seamdemo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"cardamomseam/internal/prove/seamdemo"
)

// TestDemonstrationKeepsPromises runs every step over real sockets. It does not check durations.
func TestDemonstrationKeepsPromises(t *testing.T) {
	var out bytes.Buffer
	summary, err := seamdemo.Run(context.Background(), seamdemo.Config{For: time.Second, Seed: 1, Out: &out})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if summary.Requests == 0 || len(summary.Violations) > 0 {
		t.Fatalf("%s\n%s", summary, out.String())
	}
	for _, step := range []string{"a target joins", "becomes hot", "lost without notice", "selector is changed", "a node drains"} {
		if !strings.Contains(out.String(), step) {
			t.Errorf("step %q is missing in the output", step)
		}
	}
}
