package seamcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamconfirm"
)

// waitStep is the longest wait of one call while a change is being accepted.
const waitStep = 5 * time.Second

func statusCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "status",
		Usage:     "show all cells, their nodes and the store, or who has confirmed a revision",
		ArgsUsage: " ",
		Description: "The node asks every cell. ? stands for what nobody told; a line below the cells says which did not answer, and why. " +
			"With --revision the exit code is 7 while a cell is missing.",
		Flags: []cli.Flag{&cli.Int64Flag{Name: "revision", Aliases: []string{"r"}, DefaultText: "none", Usage: "show which cells have confirmed this `REVISION`"}},
	}, func(ctx context.Context, r run) error {
		if _, err := r.only(); err != nil {
			return err
		}
		if revision := r.Int64("revision"); revision > 0 {
			return confirmations(ctx, r, revision)
		}
		report, err := r.client.Status(ctx)
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.value(report)
		}
		showStatus(r.out, report)
		return nil
	})
}

// confirmations shows who has confirmed a revision; it fails if a cell is missing.
func confirmations(ctx context.Context, r run, revision int64) error {
	status, err := r.client.Revision(ctx, revision, 0, time.Second)
	if err != nil {
		return err
	}
	if r.out.json {
		err = r.out.value(status)
	} else {
		showConfirmations(r.out, status)
	}
	if err != nil {
		return err
	}
	return pending(status)
}

func showConfirmations(o output, s seamconfirm.Status) {
	t := table{head: []string{"CELL", "EPOCH", "CONFIRMED", "COORDINATOR", "STATE"}}
	for _, c := range s.Cells {
		t.add(c.Cell, c.Epoch, c.Confirmed, c.Coordinator, confirmedCell(c))
	}
	t.write(o)
}

func confirmedCell(c seamconfirm.CellStatus) cell {
	if c.Accepted {
		return cell{"confirmed", green}
	}
	return cell{"missing", yellow}
}

// pending returns an error if the revision is not accepted.
func pending(s seamconfirm.Status) error {
	if s.Accepted {
		return nil
	}
	return &ExitError{Code: CodePending, Err: errors.Newf(
		"revision %d is not accepted yet; missing cells: %s\nOnce recorded, it comes into force there as soon as they are reached; see cardamomseam status --revision %d.",
		s.Revision, strings.Join(s.UnconfirmedCells(), ", "), s.Revision)}
}

// await reports cell by cell until the change is accepted.
func (r run) await(ctx context.Context, recorded seamapi.ChangeResult) error {
	began := time.Now()
	limit := r.Duration(flagLimit)
	seen := map[string]bool{}
	for {
		wait := min(waitStep, max(0, limit-time.Since(began)))
		status, err := r.client.Revision(ctx, recorded.Revision, len(seen), wait)
		if err != nil {
			return err
		}
		after := time.Since(began)
		r.reportCells(status, seen, after)
		if status.Accepted {
			return r.accepted(recorded, status, after)
		}
		if after >= limit {
			return r.unaccepted(recorded, status, after)
		}
	}
}

// reportCells reports the cells that have confirmed since the last report.
func (r run) reportCells(s seamconfirm.Status, seen map[string]bool, after time.Duration) {
	for _, c := range s.Cells {
		if !c.Accepted || seen[c.Cell] {
			continue
		}
		seen[c.Cell] = true
		if !r.out.json {
			r.out.printf("%s cell %s after %s (%d of %d)\n", r.out.paint(green, "confirmed"), c.Cell, after.Round(time.Millisecond), len(seen), len(s.Cells))
		}
	}
}

func (r run) accepted(recorded seamapi.ChangeResult, s seamconfirm.Status, after time.Duration) error {
	if r.out.json {
		return r.out.value(acceptance{Recorded: recorded, Status: s, After: after.Milliseconds()})
	}
	r.out.printf("%s: revision %d is in force in all %d cells\n", r.out.paint(green, "accepted"), s.Revision, len(s.Cells))
	return nil
}

// unaccepted reports a change that was not accepted in time.
func (r run) unaccepted(recorded seamapi.ChangeResult, s seamconfirm.Status, after time.Duration) error {
	if r.out.json {
		if err := r.out.value(acceptance{Recorded: recorded, Status: s, After: after.Milliseconds()}); err != nil {
			return err
		}
	}
	return pending(s)
}

// acceptance is the output of a change that was waited for, as JSON.
type acceptance struct {
	Recorded seamapi.ChangeResult `json:"recorded"`
	Status   seamconfirm.Status   `json:"status"`
	// After is the time from the recording to the acceptance, or to the end of the wait, in milliseconds.
	After int64 `json:"after"`
}

func showStatus(o output, s seamapi.StatusReport) {
	store := o.paint(green, "reachable")
	if !s.Store.Reachable {
		store = o.paint(red, "unreachable")
	}
	o.printf("node %s, rules at revision %d, store %s since %s\n\n", s.Node, s.Revision, store, s.Store.Since.Format(time.RFC3339))
	cells := table{head: []string{"CELL", "REGION", "REVISION", "EPOCH", "COORDINATOR", "BACKUP", "OWNED", "OWNERS", "CHANGED", "STORE"}}
	for _, c := range s.Cells {
		if c.AnsweredBy == "" {
			cells.add(c.Cell, c.Region, unknown, c.Epoch, c.Coordinator, c.Backup, fmt.Sprintf("%s/%d", unknown, c.Slots), unknown, unknown, cell{"no answer", red})
			continue
		}
		cells.add(c.Cell, c.Region, told(c.Revision, c), c.Epoch, c.Coordinator, c.Backup, fmt.Sprintf("%d/%d", c.Owned, c.Slots), owners(c.Owners), c.ChangedAt.Format(time.RFC3339), reachable(c.Reachable))
	}
	cells.write(o)
	showFaults(o, s.Cells)
	o.printf("\n")
	nodes := table{head: []string{"NODE", "REGION", "DOMAIN", "CELL", "SERVICE", "REVISION", "LOAD", "QUEUE", "OWNED", "STATE"}}
	cellOf := map[string]seamapi.CellStatus{}
	for _, c := range s.Cells {
		cellOf[c.Cell] = c
	}
	for _, n := range s.Nodes {
		nodes.add(n.Node, n.Region, n.Domain, n.Cell, n.Service, told(n.Revision, cellOf[n.Cell]), fmt.Sprintf("%d/%d", n.Load, n.Slots), queue(n.Queue), n.Owned, n.State)
	}
	nodes.write(o)
}

// unknown stands for what nobody told.
const unknown = "?"

// told returns the revision, which only the cell's coordinator tells.
func told(revision int64, c seamapi.CellStatus) string {
	if revision == 0 && c.Fault != "" {
		return unknown
	}
	return strconv.FormatInt(revision, 10)
}

func queue(length *int) string {
	if length == nil {
		return unknown
	}
	return strconv.Itoa(*length)
}

// showFaults names the cells whose coordinators did not answer, and says why.
func showFaults(o output, cells []seamapi.CellStatus) {
	for _, c := range cells {
		switch {
		case c.Fault == "":
		case c.AnsweredBy == "":
			o.printf("%s cell %s could not be asked: %s\n", o.paint(red, "unknown:"), c.Cell, c.Fault)
		default:
			o.printf("%s %s answers for cell %s: %s\n", o.paint(yellow, "partly:"), c.AnsweredBy, c.Cell, c.Fault)
		}
	}
}

func owners(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}

func reachable(is bool) cell {
	if is {
		return cell{"reachable", green}
	}
	return cell{"unreachable", red}
}

func watchCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "watch",
		Usage:     "show events of a node as they happen",
		ArgsUsage: "[PREFIX]",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "recent", Usage: "show the kept events and end"}},
	}, func(ctx context.Context, r run) error {
		return r.client.Events(ctx, r.Args().First(), !r.Bool("recent"), func(e seamevent.Event) error {
			if r.out.json {
				return r.out.line(e)
			}
			r.out.printf("%s  %s  %s  %s\n", e.Time.Format(time.RFC3339Nano), e.Node, r.out.paint(bold, e.Name), fields(e.Fields))
			return nil
		})
	})
}

func fields(f seamevent.Fields) string {
	parts := make([]string, 0, len(f))
	for _, name := range slices.Sorted(maps.Keys(f)) {
		value, err := json.Marshal(f[name])
		if err != nil {
			value = fmt.Append(nil, f[name])
		}
		parts = append(parts, name+"="+string(value))
	}
	return strings.Join(parts, " ")
}

func drainCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "drain",
		Usage:     "make a node take no new work, hand over its slots, finish what is in flight and stop",
		ArgsUsage: "NODE",
		Description: "NODE may be in any cell; --address names any node. The command ends when the order has arrived; status shows " +
			"the node as draining, and no longer once it has stopped. A repeated order changes nothing.",
	}, func(ctx context.Context, r run) error {
		args, err := r.only("NODE")
		if err != nil {
			return err
		}
		ordered, err := r.client.Drain(ctx, args[0])
		return r.ordered(ordered, err)
	})
}

func attestCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "attest",
		Usage:     "attest that the coordinator and the backup of a cell are lost for good",
		ArgsUsage: "CELL INSTANCE ...",
		Description: "Name both, as status shows them; --address names any node. The cell then need not wait for their promises to end. " +
			"If one of them still runs, two servers may own one key: make sure that both processes have ended. It is refused if one answers.",
	}, func(ctx context.Context, r run) error {
		args, err := r.arguments("CELL", "INSTANCE")
		if err != nil {
			return err
		}
		ordered, err := r.client.Attest(ctx, args[0], args[1:])
		return r.ordered(ordered, err)
	})
}

func (r run) ordered(o seamapi.OperationResult, err error) error {
	if err != nil {
		return err
	}
	if r.out.json {
		return r.out.value(o)
	}
	r.out.printf("ordered %s of %s; see cardamomseam status\n", o.Operation, o.Subject)
	return nil
}

func tokenCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "token",
		Usage:     "make a token for a team and the hash for the settings",
		ArgsUsage: " ",
	}, func(_ context.Context, r run) error {
		if _, err := r.only(); err != nil {
			return err
		}
		token, hash := seamauth.NewToken()
		if r.out.json {
			return r.out.value(secret{Token: token, Hash: hash})
		}
		r.out.printf("token  %s\nhash   %s\n", token, hash)
		r.out.printf("Give the token to the team; put only the hash into the settings of the nodes.\n")
		return nil
	})
}

// secret is the output of token as JSON.
type secret struct {
	Token string `json:"token"`
	Hash  string `json:"hash"`
}
