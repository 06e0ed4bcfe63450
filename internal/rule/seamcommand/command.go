// Package seamcommand implements the operators' command-line interface to the administration API.
package seamcommand

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomseam/internal/rule/seamadmin"
	"cardamomseam/internal/rule/seamclient"
)

// Names of flags shared by several commands.
const (
	flagAddress = "address"
	flagToken   = "token"
	flagOutput  = "output"
	flagFile    = "file"
	flagExpect  = "expect"
	flagWriter  = "writer"
	flagWait    = "wait"
	flagLimit   = "limit"
)

// defaultAcceptTimeout is the default limit on the wait of --wait for acceptance.
const defaultAcceptTimeout = time.Minute

// invocation is one execution of a command, with its client and its output.
type invocation struct {
	*cli.Command
	client seamclient.Client
	out    output
}

// action implements a command.
type action func(ctx context.Context, r invocation) error

// Commands returns the operators' commands. Their errors are of type *ExitError.
func Commands() []*cli.Command {
	return []*cli.Command{
		getCommand(), historyCommand(), setCommand(), deleteCommand(), labelCommand(), diffCommand(), tryCommand(),
		statusCommand(), keysCommand(), watchCommand(), drainCommand(), attestCommand(), tokenCommand(),
	}
}

// withCommonFlags adds the flags shared by all commands and sets the action.
func withCommonFlags(c *cli.Command, a action) *cli.Command {
	c.Flags = append(c.Flags,
		&cli.StringFlag{Name: flagAddress, Aliases: []string{"a"}, Value: seamadmin.DefaultAddress, Sources: cli.EnvVars("CARDAMOMSEAM_ADDRESS"), Usage: "`IP:PORT` of the administration API of any node"},
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CARDAMOMSEAM_TOKEN"), Usage: "`TOKEN` of your team, if the nodes have teams"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: formatTable, Usage: "output `FORMAT`, table or json"},
	)
	c.OnUsageError = OnUsageError
	c.Action = func(ctx context.Context, c *cli.Command) error {
		// Log lines of the HTTP library would be mixed into the output.
		logx.Disable()
		format := c.String(flagOutput)
		if format != formatTable && format != formatJSON {
			return usageErrorf("invalid --output %q: must be table or json", format)
		}
		return withExitCode(a(ctx, invocation{
			Command: c,
			client:  seamclient.Client{Address: c.String(flagAddress), Token: c.String(flagToken)},
			out:     newOutput(c.Root().Writer, format),
		}))
	}
	return c
}

// withChangeFlags adds the flags of commands that change a document.
func withChangeFlags(c *cli.Command, a action) *cli.Command {
	c.Flags = append(c.Flags,
		&cli.Int64Flag{Name: flagExpect, Aliases: []string{"e"}, Value: -1, DefaultText: "any", Usage: "make the change only if the current version has this `REVISION`; 0 means no version exists"},
		&cli.StringFlag{Name: flagWriter, Usage: "`ID` of the change, to retry it safely: a change with the same ID is recorded at most once"},
		&cli.BoolFlag{Name: flagWait, Aliases: []string{"w"}, Usage: "wait until the change is accepted and report each cell that confirms it"},
		&cli.DurationFlag{Name: flagLimit, Value: defaultAcceptTimeout, Usage: "maximum `TIME` of --wait; the exit code is 7 if the change is not accepted by then"},
	)
	return withCommonFlags(c, a)
}

// changeOptions reads the flags of a change.
func (r invocation) changeOptions() seamclient.ChangeOptions {
	options := seamclient.ChangeOptions{Writer: r.String(flagWriter)}
	if expect := r.Int64(flagExpect); expect >= 0 {
		options.Expect = &expect
	}
	return options
}

// minArgs returns the arguments, or an error if there are fewer than names.
func (r invocation) minArgs(names ...string) ([]string, error) {
	given := r.Args().Slice()
	if len(given) < len(names) {
		return nil, usageErrorf("%s requires %s\nSee %s --help.", r.Name, strings.Join(names, " and "), r.FullName())
	}
	return given, nil
}

// exactArgs returns the arguments, or an error unless there are exactly as many as names.
func (r invocation) exactArgs(names ...string) ([]string, error) {
	given, err := r.minArgs(names...)
	if err == nil && len(given) > len(names) {
		return nil, usageErrorf("%s has unexpected arguments: %s\nSee %s --help.", r.Name, strings.Join(given[len(names):], " "), r.FullName())
	}
	return given, err
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usageErrorf("cannot read the document: %v", err)
	}
	return text, nil
}
