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
	return command(&cli.Command{
		Name:      "keys",
		Usage:     "show the keys that a node's target served most",
		ArgsUsage: " ",
		Flags:     []cli.Flag{&cli.IntFlag{Name: flagCount, Aliases: []string{"n"}, Value: defaultCount, Usage: "show up to this `NUMBER` of keys"}},
	}, func(ctx context.Context, r run) error {
		if _, err := r.only(); err != nil {
			return err
		}
		report, err := r.client.Keys(ctx, r.Int(flagCount))
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.value(report)
		}
		showKeys(r.out, report)
		return nil
	})
}

// showKeys quotes the keys, since callers choose them and the output may be a terminal.
func showKeys(o output, report seamapi.KeysReport) {
	o.printf("node %s\n\n", report.Node)
	t := table{head: []string{"KEY", "SERVICE", "SLOT", "RATE", "ERROR"}}
	for _, k := range report.Keys {
		t.add(strconv.Quote(k.Key), k.Service, k.Slot, perSecond(k.Rate), perSecond(k.MaxError))
	}
	t.write(o)
}

func perSecond(rate float64) string { return fmt.Sprintf("%.1f/s", rate) }
