package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"cardamomseam/internal/observe/seamlog"
	"cardamomseam/internal/prove/seamdemo"
)

// defaultDemoDuration is the default run time of the demonstration.
const defaultDemoDuration = 20 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "demonstrate every mechanism in one process over loopback sockets, with real traffic",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: defaultDemoDuration, Usage: "`TIME` to run; 10s is enough to show each step"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the traffic"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	defer seamlog.DiscardGoZero()()
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	_, err := seamdemo.Run(ctx, seamdemo.Config{For: c.Duration("for"), Seed: c.Uint64("seed"), Out: os.Stdout})
	return err
}
