package seamskew_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamskew"
)

// shortTrace returns the configuration of a trace that is short enough for a unit test.
func shortTrace(seed uint64) seamskew.Config {
	c := seamskew.NewConfig(seed)
	c.Duration = 6 * time.Minute
	c.Rate = 1000
	return c
}

func TestObjectivesAreMet(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := shortTrace(seed)
			o := seamexperiment.Options{Seed: seed, Duration: c.Duration, Rate: float64(c.Rate)}
			results, err := seamskew.Experiments[0].Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			r := results[0]
			for _, m := range r.Measurements {
				t.Log(m.Summary())
			}
			objectives := 0
			for _, m := range r.Measurements {
				if m.Objective != nil {
					objectives++
				}
			}
			if !r.Passed() || objectives != 4 {
				t.Fatalf("%d objectives, want 4; missed: %v", objectives, r.Missed())
			}
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	c := shortTrace(7)
	c.Duration = time.Minute
	first, err := seamskew.Run(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	second, err := seamskew.Run(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(first, second); d != "" {
		t.Fatal(d)
	}
}

func TestRunRejectsInvalidConfig(t *testing.T) {
	c := seamskew.NewConfig(1)
	c.HotKeys = c.Keys
	_, err := seamskew.Run(context.Background(), c)
	var e *seamskew.ConfigError
	if !errors.As(err, &e) || e.Field != "hot" {
		t.Fatalf("got %v, want a ConfigError for the field hot", err)
	}
}
