package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/platform/seamhttp"
	"cardamomseam/internal/rule/seamcommand"
	"cardamomseam/platform"
)

const (
	// megabyte is the unit of the setting memory, in bytes.
	megabyte = 1 << 20
	// memoryShare is the part of the allowed memory from which the collector works harder.
	memoryShare = 0.6
	// collectPercent is the growth of the heap, in percent, after which it is collected.
	collectPercent = 60
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "run a node whose routes, members and owners stand in the platform's store, until SIGTERM",
		Flags:        []cli.Flag{settingsFlag()},
		OnUsageError: seamcommand.OnUsageError,
		Action:       runServe,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	settings, err := seamsetting.LoadRouter(file)
	if err != nil {
		return seamcommand.UsageError(err)
	}
	boundMemory(settings.Memory)
	seamhttp.DisableForcedExit()
	ring, stopTracing := startTracing(settings.Trace)
	defer stopTracing()
	node, stop, err := seamrouter.New(settings, platform.Adapter(), seamrouter.Options{Log: os.Stdout, Ring: ring, Bridge: true})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go node.WatchSettings(ctx, file, reload)
	<-ctx.Done()
	cancel() // a second signal ends the process at once
	limited, cancelDrain := context.WithTimeout(context.Background(), settings.Stop.Limit)
	defer cancelDrain()
	return errors.Wrap(node.Drain(limited), "drain")
}

// boundMemory keeps the heap small, and well below the memory that the process may use.
func boundMemory(megabytes int) {
	debug.SetGCPercent(collectPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes*megabyte) * memoryShare))
	}
}
