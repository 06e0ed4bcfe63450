package seamskew_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/prove/seamskew"
)

// short is a trace small enough for every run of the tests.
func short(seed uint64) seamskew.Config {
	c := seamskew.NewConfig(seed)
	c.Duration = 6 * time.Minute
	c.Rate = 1000
	c.Keys = 20_000
	return c
}

func TestTargets(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, err := seamskew.Run(context.Background(), short(seed))
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range r.Policies {
				t.Logf("%-9s imbalance %.3f churn %.1f unavailable %.0f", p.Policy, p.Imbalance, p.Churn, p.Unavailable)
			}
			if missed := r.Missed(); len(missed) > 0 {
				t.Fatal(missed)
			}
		})
	}
}

func TestMissedNamesWorsePolicy(t *testing.T) {
	worse := seamskew.Outcome{Policy: seamskew.Exchange, Ours: true}
	worse.Imbalance, worse.Churn = 2, 30
	base := seamskew.Outcome{Policy: seamskew.Bounded}
	base.Imbalance, base.Churn = 1.5, 20
	r := seamskew.Result{Policies: []seamskew.Outcome{worse, base}}
	want := []string{"imbalance of exchange not below bounded", "churn of exchange above bounded"}
	if d := cmp.Diff(want, r.Missed()); d != "" {
		t.Fatal(d)
	}
}

func TestSameSeedSameResult(t *testing.T) {
	c := short(7)
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

func TestRunRefusesBadConfig(t *testing.T) {
	c := seamskew.NewConfig(1)
	c.Hot = c.Keys
	_, err := seamskew.Run(context.Background(), c)
	var e *seamskew.ConfigError
	if !errors.As(err, &e) || e.Field != "hot" {
		t.Fatalf("error is %v", err)
	}
}
