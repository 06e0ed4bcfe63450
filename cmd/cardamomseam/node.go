package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/node/seamnode"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/platform/seamhttp"
	"cardamomseam/internal/platform/seammemory"
	"cardamomseam/internal/rule/seamcommand"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:         "node",
		Usage:        "run the node beside a target until SIGTERM or a drain order, then stop without cutting a request",
		Flags:        []cli.Flag{settingsFlag()},
		OnUsageError: seamcommand.OnUsageError,
		Action:       runNode,
	}
}

func runNode(ctx context.Context, c *cli.Command) error {
	settings, err := seamsetting.Load(c.String("settings"))
	if err != nil {
		return seamcommand.UsageError(err)
	}
	seamhttp.DisableForcedExit()
	ring, stopTracing := startTracing(settings.Trace)
	defer stopTracing()
	node, stop, err := seamnode.New(settings, seamnode.Options{Log: os.Stderr, Ring: ring, Bridge: true})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go seammemory.ReleaseOnce(ctx, seammemory.StartupDelay)
	select {
	case <-ctx.Done():
	case <-node.DrainRequested():
	}
	cancel() // a second signal ends the process at once
	limited, cancelDrain := context.WithTimeout(context.Background(), settings.Drain.Limit)
	defer cancelDrain()
	return errors.Wrap(node.Drain(limited), "drain")
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "tell whether files of settings are right, without starting anything",
		ArgsUsage:    "FILE...",
		Flags:        []cli.Flag{&cli.BoolFlag{Name: "serve", Usage: "the files are settings for serve, not for node"}},
		OnUsageError: seamcommand.OnUsageError,
		Action:       runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return seamcommand.UsageError(errors.New("name at least one file of settings"))
	}
	var faults []error
	check := seamsetting.Check
	if c.Bool("serve") {
		check = seamsetting.CheckRouter
	}
	for _, file := range c.Args().Slice() {
		if err := check(file); err != nil {
			faults = append(faults, err)
			continue
		}
		fmt.Printf("%s: ok\n", file)
	}
	return seamcommand.UsageError(errors.Join(faults...))
}
