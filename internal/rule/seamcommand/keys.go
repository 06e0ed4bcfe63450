package seamcommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamapi"
)

// flagCount is the name of the flag that sets the number of keys to show.
const flagCount = "count"

// defaultCount is the default number of keys to show.
const defaultCount = 20

func keysCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "keys",
		Usage:     "show the keys with the highest request rates at a node's target",
		ArgsUsage: " ",
		Flags:     []cli.Flag{&cli.IntFlag{Name: flagCount, Aliases: []string{"n"}, Value: defaultCount, Usage: "show up to this `NUMBER` of keys"}},
	}, func(ctx context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		report, err := r.client.Keys(ctx, r.Int(flagCount))
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.writeJSON(report)
		}
		printKeys(r.out, report)
		return nil
	})
}

// printKeys prints a table of key rates. It quotes the keys, because callers choose them and the
// output may be a terminal.
func printKeys(o output, report seamapi.KeysReport) {
	o.printf("node %s\n\n", report.Node)
	t := table{header: []string{"KEY", "SERVICE", "SLOT", "RATE", "ERROR"}}
	for _, k := range report.Keys {
		t.add(strconv.Quote(k.Key), k.Service, k.Slot, formatRate(k.Rate), formatRate(k.MaxError))
	}
	t.write(o)
}

func formatRate(rate float64) string { return fmt.Sprintf("%.1f/s", rate) }
