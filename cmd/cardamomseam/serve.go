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
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory that the
	// process may use. Near the limit the garbage collector runs more often.
	memoryLimitRatio = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 60
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "run a node that keeps routes, members and owners in the platform's store, until SIGTERM",
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
	limitMemory(settings.Memory)
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
	cancel() // restores the default handling: a second signal terminates the process immediately
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), settings.Stop.Limit)
	defer cancelDrain()
	return errors.Wrap(node.Drain(drainCtx), "drain")
}

// limitMemory keeps the heap small, and well below the memory that the process may use. With 0
// megabytes it sets no memory limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes*megabyte) * memoryLimitRatio))
	}
}
