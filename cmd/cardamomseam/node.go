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
		Usage:        "run the node of a target until SIGTERM, SIGINT or a drain command, then finish the requests in flight and stop",
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
	cancel() // restores the default handling: a second signal terminates the process immediately
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), settings.Drain.Limit)
	defer cancelDrain()
	return errors.Wrap(node.Drain(drainCtx), "drain")
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "validate settings files without starting a node",
		ArgsUsage:    "FILE...",
		Flags:        []cli.Flag{&cli.BoolFlag{Name: "serve", Usage: "the files contain settings for serve instead of node"}},
		OnUsageError: seamcommand.OnUsageError,
		Action:       runCheck,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return seamcommand.UsageError(errors.New("check requires at least one settings file"))
	}
	var errs []error
	check := seamsetting.Check
	if c.Bool("serve") {
		check = seamsetting.CheckRouter
	}
	for _, file := range c.Args().Slice() {
		if err := check(file); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Printf("%s: ok\n", file)
	}
	return seamcommand.UsageError(errors.Join(errs...))
}
