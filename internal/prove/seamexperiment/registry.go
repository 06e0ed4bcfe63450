package seamexperiment

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Options are the command-line options of an experiment.
type Options struct {
	// Seed seeds the random decisions, so that a run can be repeated.
	Seed uint64
	// Duration is the duration of the measured part; 0 uses the experiment's default.
	Duration time.Duration
	// Nodes is the number of nodes; 0 uses the experiment's default.
	Nodes int
	// Rate is the number of requests per second; 0 uses the experiment's default.
	Rate float64
	// Rounds is the number of instance losses, restarts or rule changes; 0 uses the
	// experiment's default.
	Rounds int
	// KeepDirectory keeps the directory with the logs, settings and execution logs.
	KeepDirectory bool
	// Logf logs the progress of the experiment.
	Logf func(format string, values ...any)
}

// Experiment is one named experiment.
type Experiment struct {
	Name  string
	Usage string
	// Run returns one result per fleet size. An error means that the experiment could not be
	// completed.
	Run func(ctx context.Context, o Options) ([]Result, error)
}

// Registry holds the experiments by name.
type Registry struct {
	byName map[string]Experiment
}

// NewRegistry returns a registry of the experiments of all groups.
func NewRegistry(groups ...[]Experiment) *Registry {
	r := &Registry{byName: map[string]Experiment{}}
	for _, g := range groups {
		for _, e := range g {
			r.byName[e.Name] = e
		}
	}
	return r
}

// All returns the experiments sorted by name.
func (r *Registry) All() []Experiment {
	list := make([]Experiment, 0, len(r.byName))
	for _, e := range r.byName {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// UnknownExperimentError reports that no experiment has the given name.
type UnknownExperimentError struct {
	Name  string
	Known []string
}

// Error returns the unknown name and the names of all experiments.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("unknown experiment %q; available experiments: %s", e.Name, strings.Join(e.Known, ", "))
}

// Get returns the experiment with the given name.
func (r *Registry) Get(name string) (Experiment, error) {
	if e, ok := r.byName[name]; ok {
		return e, nil
	}
	var known []string
	for _, e := range r.All() {
		known = append(known, e.Name)
	}
	return Experiment{}, &UnknownExperimentError{Name: name, Known: known}
}

// Execute runs the experiment and fills in the common fields of its results. If the experiment
// fails, the last result holds the error; there is always at least one result.
func (e Experiment) Execute(ctx context.Context, o Options) []Result {
	started := time.Now()
	results, err := e.Run(ctx, o)
	if len(results) == 0 {
		results = []Result{{}}
	}
	if err != nil {
		results[len(results)-1].Failure = err.Error()
	}
	for i := range results {
		results[i].Name = e.Name
		results[i].Seed = o.Seed
		if results[i].Started.IsZero() {
			results[i].Started = started
		}
		if results[i].ElapsedSeconds == 0 {
			results[i].ElapsedSeconds = time.Since(started).Seconds()
		}
	}
	return results
}
