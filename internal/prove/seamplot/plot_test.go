package seamplot_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamplot"
)

func TestDraw(t *testing.T) {
	var results []seamexperiment.Result
	for _, size := range []int{6, 12} {
		r := seamexperiment.Result{Name: "cost", Size: size}
		r.Add("memory", float64(size), "B")
		r.Add("idle-member-sent", float64(size), "B/s")
		r.Add("idle-backup-sent", float64(size), "B/s")
		r.Add("left-out", float64(size), "B/s")
		results = append(results, r)
	}
	single := seamexperiment.Result{Name: "takeover", Size: 6, Series: []seamexperiment.Series{
		{Name: "losses", XName: "losses", YName: "unavailable s", X: []float64{1, 2}, Y: []float64{1, 2}},
	}}
	single.Add("p99", 1, "s")
	files, err := seamplot.Draw(append(results, single), t.TempDir(), []string{"takeover-unavailable-s", "cost-idle-sent", "cost-memory"})
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range files {
		names = append(names, filepath.Base(f))
		if info, err := os.Stat(f); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty: %v", f, err)
		}
	}
	want := []string{
		"takeover-unavailable-s.png", "takeover-unavailable-s.svg",
		"cost-idle-sent.png", "cost-idle-sent.svg", "cost-memory.png", "cost-memory.svg",
	}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Error(diff)
	}
}
