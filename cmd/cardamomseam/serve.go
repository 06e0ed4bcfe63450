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
	// bytesPerMiB converts the memory setting, which is in MiB, to bytes.
	bytesPerMiB = 1 << 20
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the memory setting, the
	// memory that the process may use. Near the soft limit the garbage collector runs more often.
	memoryLimitRatio = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 60
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "run a node that keeps routes, members and owners in the platform's store, until SIGTERM or SIGINT",
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
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), node.StopLimit())
	defer cancelDrain()
	return errors.Wrap(node.Drain(drainCtx), "drain")
}

// limitMemory makes the garbage collector run earlier than by default, to keep the heap small, and sets
// the runtime's soft memory limit to memoryLimitRatio of limitMiB. If limitMiB is 0, it sets no limit.
func limitMemory(limitMiB int) {
	debug.SetGCPercent(gcPercent)
	if limitMiB > 0 {
		debug.SetMemoryLimit(int64(float64(limitMiB*bytesPerMiB) * memoryLimitRatio))
	}
}
