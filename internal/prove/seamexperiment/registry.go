package seamexperiment

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Options are chosen on the command line.
type Options struct {
	// Seed makes the random decisions repeatable.
	Seed uint64
	// For is the time of the measured part; 0 lets the experiment choose.
	Duration time.Duration
	// Nodes is the number of nodes; 0 lets the experiment choose.
	Nodes int
	// Rate is the number of requests a second; 0 lets the experiment choose.
	Rate float64
	// Rounds is the number of losses, restarts or changes; 0 lets the experiment choose.
	Rounds int
	// Keep keeps the directory with the logs, settings and ledgers.
	KeepDirectory bool
	// Say takes lines that tell how the experiment goes on.
	Logf func(format string, values ...any)
}

// Experiment is one named experiment.
type Experiment struct {
	Name  string
	Usage string
	// Run returns one result a size. An error means that it could not be carried out.
	Run func(ctx context.Context, o Options) ([]Result, error)
}

// Registry holds the experiments by name.
type Registry struct {
	byName map[string]Experiment
}

// NewRegistry returns a registry of the given groups.
func NewRegistry(groups ...[]Experiment) *Registry {
	r := &Registry{byName: map[string]Experiment{}}
	for _, g := range groups {
		for _, e := range g {
			r.byName[e.Name] = e
		}
	}
	return r
}

// All returns the experiments in order of name.
func (r *Registry) All() []Experiment {
	list := make([]Experiment, 0, len(r.byName))
	for _, e := range r.byName {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// UnknownError says that no experiment has the name.
type UnknownExperimentError struct {
	Name  string
	Known []string
}

// Error names the experiments that exist.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q; there are %s", e.Name, strings.Join(e.Known, ", "))
}

// Get returns the experiment of a name.
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

// Carry runs an experiment and fills in what all results have in common.
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
