// Package seamcommand holds the operators' commands.
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

// Names of flags that several commands share.
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

// defaultLimit bounds the wait for acceptance.
const defaultLimit = time.Minute

// run is one run of a command.
type run struct {
	*cli.Command
	client seamclient.Client
	out    output
}

// action carries out a command.
type action func(ctx context.Context, r run) error

// Commands returns the operators' commands. Their errors are *ExitError.
func Commands() []*cli.Command {
	return []*cli.Command{
		getCommand(), historyCommand(), setCommand(), deleteCommand(), labelCommand(), diffCommand(), tryCommand(),
		statusCommand(), keysCommand(), watchCommand(), drainCommand(), attestCommand(), tokenCommand(),
	}
}

// command completes a command with the shared flags and its action.
func command(c *cli.Command, a action) *cli.Command {
	c.Flags = append(c.Flags,
		&cli.StringFlag{Name: flagAddress, Aliases: []string{"a"}, Value: seamadmin.DefaultAddress, Sources: cli.EnvVars("CARDAMOMSEAM_ADDRESS"), Usage: "`IP:PORT` of the administration API of any node"},
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CARDAMOMSEAM_TOKEN"), Usage: "`TOKEN` of your team, if the nodes have teams"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: formTable, Usage: "`FORM` of output, table or json"},
	)
	c.OnUsageError = OnUsageError
	c.Action = func(ctx context.Context, c *cli.Command) error {
		// The log of the HTTP library would mix with the output.
		logx.Disable()
		form := c.String(flagOutput)
		if form != formTable && form != formJSON {
			return usage("--output is %q, allowed are table and json", form)
		}
		return exit(a(ctx, run{
			Command: c,
			client:  seamclient.Client{Address: c.String(flagAddress), Token: c.String(flagToken)},
			out:     newOutput(c.Root().Writer, form),
		}))
	}
	return c
}

// changing adds the flags of commands that change a document.
func changing(c *cli.Command, a action) *cli.Command {
	c.Flags = append(c.Flags,
		&cli.Int64Flag{Name: flagExpect, Aliases: []string{"e"}, Value: -1, DefaultText: "any", Usage: "change only the version with this `REVISION`, 0 if there must be none"},
		&cli.StringFlag{Name: flagWriter, Usage: "`ID` of a change to repeat; it is never recorded twice"},
		&cli.BoolFlag{Name: flagWait, Aliases: []string{"w"}, Usage: "report cell by cell until the change is accepted"},
		&cli.DurationFlag{Name: flagLimit, Value: defaultLimit, Usage: "longest `TIME` of --wait; exit code 7 if the change is not accepted by then"},
	)
	return command(c, a)
}

// edit reads the flags of a change.
func (r run) edit() seamclient.ChangeOptions {
	e := seamclient.ChangeOptions{Writer: r.String(flagWriter)}
	if expect := r.Int64(flagExpect); expect >= 0 {
		e.Expect = &expect
	}
	return e
}

// arguments returns the arguments if there are at least as many as names.
func (r run) arguments(names ...string) ([]string, error) {
	given := r.Args().Slice()
	if len(given) < len(names) {
		return nil, usage("%s needs %s\nSee %s --help.", r.Name, strings.Join(names, " and "), r.FullName())
	}
	return given, nil
}

// only returns the arguments if there are exactly as many as names.
func (r run) only(names ...string) ([]string, error) {
	given, err := r.arguments(names...)
	if err == nil && len(given) > len(names) {
		return nil, usage("%s has arguments too many: %s\nSee %s --help.", r.Name, strings.Join(given[len(names):], " "), r.FullName())
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
		return nil, usage("cannot read the document: %v", err)
	}
	return text, nil
}
