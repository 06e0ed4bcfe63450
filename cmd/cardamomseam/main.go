// Command cardamomseam runs a node of the router, the demonstration and the
// operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamcommand"
)

func main() {
	root := &cli.Command{
		Name:  "cardamomseam",
		Usage: "route requests to the servers that own their keys",
		Description: "Try demo first. A node is run by node; what operators do is done by the other commands, through the administration API of any node.\n\n" +
			seamcommand.ExitCodeHelp,
		Action:       seamcommand.UnknownCommand,
		OnUsageError: seamcommand.OnUsageError,
		// The error is shown below, with the exit code that the documentation names.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: append([]*cli.Command{
			nodeCommand(),
			serveCommand(),
			stateCommand(),
			checkCommand(),
			demoCommand(),
		}, seamcommand.Commands()...),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(seamcommand.ExitCode(err))
	}
}
