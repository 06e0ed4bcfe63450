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

// traceLines is the number of lines of a trace that are told besides the JSON line.
const traceLines = 30

// clockFormat is the form of the times of violations.
const clockFormat = "15:04:05.000"

// experiments returns all experiments.
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

// MissedError says that an experiment failed, missed a target or found a broken promise.
type ExperimentFailedError struct {
	Name   string
	Result seamexperiment.Result
}

// Error names what was missed.
func (e *ExperimentFailedError) Error() string {
	switch {
	case e.Result.Failure != "":
		return e.Name + " could not be carried out: " + e.Result.Failure
	case e.Result.Broken > 0:
		return fmt.Sprintf("%s: %d broken promises (seed %d)", e.Name, e.Result.Broken, e.Result.Seed)
	}
	return fmt.Sprintf("%s: targets missed: %s", e.Name, strings.Join(e.Result.Missed(), ", "))
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run an experiment with real processes and print one JSON line a size",
		ArgsUsage: "NAME",
		Description: "Exit code 1 says that a stated target was missed, a promise was broken, or the " +
			"experiment could not be carried out.\n" + describeExperiments(),
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random decisions"},
			&cli.DurationFlag{Name: "for", Usage: "time of the measured part (default: the experiment's own)"},
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes (default: the experiment's own)"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second (default: the experiment's own)"},
			&cli.IntFlag{Name: "rounds", Usage: "number of losses, restarts or changes (default: the experiment's own)"},
			&cli.BoolFlag{Name: "keep", Usage: "keep logs, settings and ledgers"},
			&cli.BoolFlag{Name: "quiet", Usage: "print nothing but the JSON line"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to append the JSON lines to as well"},
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
	o := seamexperiment.Options{
		Seed:   c.Uint64("seed"),
		For:    c.Duration("for"),
		Nodes:  c.Int("nodes"),
		Rate:   c.Float("rate"),
		Rounds: c.Int("rounds"),
		Keep:   c.Bool("keep"),
		Say: func(format string, values ...any) {
			if !c.Bool("quiet") {
				fmt.Fprintf(os.Stderr, "%7.2fs %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, values...))
			}
		},
	}
	results := e.Carry(ctx, o)
	if err := writeResults(c.String("out"), results); err != nil {
		return err
	}
	for _, r := range results {
		for _, f := range r.Figures {
			o.Say("%s", f.Summary())
		}
	}
	for _, r := range results {
		for _, v := range r.Violations {
			o.Say("VIOLATION %s: %s at %s", v.Promise, v.Detail, v.At.Format(clockFormat))
		}
		for _, line := range r.Trace[:min(len(r.Trace), traceLines)] {
			o.Say("  %s", line)
		}
	}
	for _, r := range results {
		if !r.Ok() {
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
		Usage:     "print the figures of two files of results with their ratios",
		ArgsUsage: "OLD NEW",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("compare needs two files")
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
			return missed(changes)
		},
	}
}

// missed returns an error if a new figure misses its target.
func missed(changes []seamexperiment.Change) error {
	count := 0
	for _, c := range changes {
		if c.Missed {
			count++
		}
	}
	if count > 0 {
		return errors.Newf("%d figures miss their targets", count)
	}
	return nil
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "draw files of results as PNG and SVG",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Value: "docs/plots", Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of a picture to draw; repeatable (default: all)"},
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
