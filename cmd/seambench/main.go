// Command seambench runs simulated stores, targets and networks, and the experiments that
// measure cardamomseam.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "seambench:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "seambench",
		Usage: "simulated services, load and experiments for cardamomseam",
		Commands: []*cli.Command{
			storeCommand(),
			targetCommand(),
			proxyCommand(),
			runCommand(),
			compareCommand(),
			plotCommand(),
		},
	}
	return root.Run(ctx, os.Args)
}
