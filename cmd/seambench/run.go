package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/prove/seamchaos"
	"cardamomseam/internal/prove/seamcost"
	"cardamomseam/internal/prove/seamexperiment"
	"cardamomseam/internal/prove/seamownership"
	"cardamomseam/internal/prove/seamplot"
	"cardamomseam/internal/prove/seamskew"
	"cardamomseam/internal/prove/seamspread"
	"cardamomseam/internal/prove/seamtraffic"
)

// maxPrintedTraceLines is the maximum number of trace lines per result that are printed to standard error.
const maxPrintedTraceLines = 30

// violationTimeFormat is the format in which the times of violations are printed.
const violationTimeFormat = "15:04:05.000"

// experiments returns the registry of all experiments.
func experiments() *seamexperiment.Registry {
	return seamexperiment.NewRegistry(
		seamownership.Experiments,
		seamtraffic.Experiments,
		seamspread.Experiments,
		seamchaos.Experiments,
		seamcost.Experiments,
		seamskew.Experiments,
	)
}

// ExperimentFailedError reports that an experiment could not be run, missed an objective or violated an
// invariant.
type ExperimentFailedError struct {
	Name   string
	Result seamexperiment.Result
}

// Error names the experiment and describes the failure.
func (e *ExperimentFailedError) Error() string {
	switch {
	case e.Result.Failure != "":
		return e.Name + " could not be run: " + e.Result.Failure
	case e.Result.ViolationCount > 0:
		return fmt.Sprintf("%s: %d invariant violations (seed %d)", e.Name, e.Result.ViolationCount, e.Result.Seed)
	}
	return fmt.Sprintf("%s missed its targets for %s", e.Name, strings.Join(e.Result.Missed(), ", "))
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run an experiment with real processes and print one JSON line per fleet size",
		ArgsUsage: "NAME",
		Description: "Exit code 1 means that a figure missed its target, an invariant was violated, or the " +
			"experiment could not be run.\n" + describeExperiments(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random decisions; the same seed repeats them"},
			&cli.DurationFlag{Name: "for", Usage: "duration of the measured part (default: depends on the experiment)"},
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes (default: depends on the experiment)"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second (default: depends on the experiment)"},
			&cli.IntFlag{Name: "rounds", Usage: "number of instance losses, restarts or rule changes (default: depends on the experiment)"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the directory with the logs, settings and execution logs"},
			&cli.BoolFlag{Name: "quiet", Usage: "print only the JSON lines"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to which the JSON lines are also appended"},
		},
		Action: runExperiment,
	}
}

func describeExperiments() string {
	var b strings.Builder
	for _, e := range experiments().All() {
		fmt.Fprintf(&b, "\n%-10s %s", e.Name, e.Usage)
	}
	return b.String()
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	e, err := experiments().Get(c.Args().First())
	if err != nil {
		return err
	}
	started := time.Now()
	options := seamexperiment.Options{
		Seed:          c.Uint64("seed"),
		Duration:      c.Duration("for"),
		Nodes:         c.Int("nodes"),
		Rate:          c.Float("rate"),
		Rounds:        c.Int("rounds"),
		KeepDirectory: c.Bool("keep"),
		Logf: func(format string, values ...any) {
			if !c.Bool("quiet") {
				fmt.Fprintf(os.Stderr, "%7.2fs %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, values...))
			}
		},
	}
	results := e.Execute(ctx, options)
	if err := writeResults(c.String("out"), results); err != nil {
		return err
	}
	for _, r := range results {
		for _, f := range r.Measurements {
			options.Logf("%s", f.Summary())
		}
	}
	for _, r := range results {
		for _, v := range r.Violations {
			options.Logf("VIOLATION %s: %s at %s", v.Kind, v.Detail, v.At.Format(violationTimeFormat))
		}
		for _, line := range r.Trace[:min(len(r.Trace), maxPrintedTraceLines)] {
			options.Logf("  %s", line)
		}
	}
	for _, r := range results {
		if !r.Passed() {
			return &ExperimentFailedError{Name: e.Name, Result: r}
		}
	}
	return nil
}

func writeResults(file string, results []seamexperiment.Result) error {
	for i := range results {
		if err := results[i].Write(os.Stdout); err != nil {
			return err
		}
	}
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range results {
		if err := results[i].Write(f); err != nil {
			return err
		}
	}
	return nil
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare the figures of two result files and print their ratios",
		ArgsUsage: "OLD NEW",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("compare requires two files")
			}
			older, err := seamexperiment.ReadFile(c.Args().Get(0))
			if err != nil {
				return err
			}
			newer, err := seamexperiment.ReadFile(c.Args().Get(1))
			if err != nil {
				return err
			}
			changes := seamexperiment.Compare(older, newer)
			if err := seamexperiment.WriteChanges(os.Stdout, changes); err != nil {
				return err
			}
			return checkObjectives(changes)
		},
	}
}

// checkObjectives returns an error if any measurement in the newer file missed its objective.
func checkObjectives(changes []seamexperiment.Change) error {
	missed := 0
	for _, c := range changes {
		if c.Missed {
			missed++
		}
	}
	if missed > 0 {
		return errors.Newf("%d figures missed their targets", missed)
	}
	return nil
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "plot result files as PNG and SVG",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Value: "docs/plots", Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of a plot to draw; repeatable (default: all)"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results []seamexperiment.Result
			for _, name := range c.Args().Slice() {
				list, err := seamexperiment.ReadFile(name)
				if err != nil {
					return err
				}
				results = append(results, list...)
			}
			files, err := seamplot.Draw(results, c.String("directory"), c.StringSlice("only"))
			for _, f := range files {
				fmt.Println(f)
			}
			return err
		},
	}
}
