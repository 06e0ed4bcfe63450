package seamexperiment_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamexperiment"
)

func TestPassed(t *testing.T) {
	tests := []struct {
		name   string
		add    func(r *seamexperiment.Result)
		passed bool
	}{
		{"no objective", func(r *seamexperiment.Result) { r.Add("x", 9, "s") }, true},
		{"at most met", func(r *seamexperiment.Result) { r.AddAtMost("x", 2, "s", 2) }, true},
		{"at most missed", func(r *seamexperiment.Result) { r.AddAtMost("x", 2.1, "s", 2) }, false},
		{"at least missed", func(r *seamexperiment.Result) { r.AddAtLeast("x", 1, "s", 2) }, false},
		{"violation", func(r *seamexperiment.Result) {
			r.AddViolations([]seamcheck.Violation{{Kind: seamcheck.DuplicateExecution}})
		}, false},
		{"no violation", func(r *seamexperiment.Result) { r.AddViolations(nil) }, true},
		{"failed run", func(r *seamexperiment.Result) { r.Failure = "x" }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r seamexperiment.Result
			test.add(&r)
			if r.Passed() != test.passed {
				t.Errorf("Passed returned %t", r.Passed())
			}
		})
	}
}

func TestCompareWrittenResults(t *testing.T) {
	directory := t.TempDir()
	var lists [][]seamexperiment.Result
	for i, value := range []float64{2, 3} {
		r := seamexperiment.Result{Name: "load", Size: 6}
		r.AddAtMost("p99", value, "ms", 2)
		var line bytes.Buffer
		if err := r.Write(&line); err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(directory, string(rune('a'+i)))
		if err := os.WriteFile(file, line.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		list, err := seamexperiment.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lists = append(lists, list)
	}
	want := []seamexperiment.Change{{
		Experiment: "load", Size: 6, Measurement: "p99", Unit: "ms", Old: 2, New: 3, Missed: true,
	}}
	got := seamexperiment.Compare(lists[0], lists[1])
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if got[0].Ratio() != "1.500" {
		t.Errorf("ratio is %s, want 1.500", got[0].Ratio())
	}
}

func TestFailedExperimentReturnsResult(t *testing.T) {
	e := seamexperiment.Experiment{
		Name: "x",
		Run: func(context.Context, seamexperiment.Options) ([]seamexperiment.Result, error) {
			return nil, errors.New("no store")
		},
	}
	results := e.Execute(context.Background(), seamexperiment.Options{Seed: 7})
	if len(results) != 1 || results[0].Failure != "no store" || results[0].Seed != 7 {
		t.Errorf("got %+v, want one result with the failure and the seed", results)
	}
}
