package seamcommand

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamapi"
)

// flagCount is the flag for the number of keys that are shown.
const flagCount = "count"

// defaultCount is the number of keys that are shown unless the flag says otherwise.
const defaultCount = 20

func keysCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "keys",
		Usage:     "show the keys that a node's target served most",
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

// showKeys quotes the keys, since callers choose them and the output may be a terminal.
func printKeys(o output, report seamapi.KeysReport) {
	o.printf("node %s\n\n", report.Node)
	t := table{header: []string{"KEY", "SERVICE", "SLOT", "RATE", "ERROR"}}
	for _, k := range report.Keys {
		t.add(strconv.Quote(k.Key), k.Service, k.Slot, formatRate(k.Rate), formatRate(k.MaxError))
	}
	t.write(o)
}

func formatRate(rate float64) string { return fmt.Sprintf("%.1f/s", rate) }
