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

// maxWaitPerCall limits the wait of a single API call while waiting for acceptance.
const maxWaitPerCall = 5 * time.Second

func statusCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "status",
		Usage:     "show all cells, their nodes and the store, or which cells have confirmed a revision",
		ArgsUsage: " ",
		Description: "The node queries every cell. ? means that a value is unknown. A line below the cells names each cell whose coordinator did not answer, and the reason. " +
			"With --revision the exit code is 7 while a cell has not confirmed it.",
		Flags: []cli.Flag{&cli.Int64Flag{Name: "revision", Aliases: []string{"r"}, DefaultText: "none", Usage: "show which cells have confirmed this `REVISION`"}},
	}, func(ctx context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		if revision := r.Int64("revision"); revision > 0 {
			return checkConfirmations(ctx, r, revision)
		}
		report, err := r.client.Status(ctx)
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.writeJSON(report)
		}
		printStatus(r.out, report)
		return nil
	})
}

// checkConfirmations shows which cells have confirmed a revision. It returns an error if any has not.
func checkConfirmations(ctx context.Context, r invocation, revision int64) error {
	status, err := r.client.Revision(ctx, revision, 0, time.Second)
	if err != nil {
		return err
	}
	if r.out.json {
		err = r.out.writeJSON(status)
	} else {
		printConfirmations(r.out, status)
	}
	if err != nil {
		return err
	}
	return pendingError(status)
}

func printConfirmations(o output, s seamconfirm.Status) {
	t := table{header: []string{"CELL", "EPOCH", "CONFIRMED", "COORDINATOR", "STATE"}}
	for _, c := range s.Cells {
		t.add(c.Cell, c.Epoch, c.Confirmed, c.Coordinator, confirmationState(c))
	}
	t.write(o)
}

func confirmationState(c seamconfirm.CellStatus) tableCell {
	if c.Accepted {
		return tableCell{"confirmed", green}
	}
	return tableCell{"missing", yellow}
}

// pendingError returns an error that names the missing cells if the revision is not accepted.
func pendingError(s seamconfirm.Status) error {
	if s.Accepted {
		return nil
	}
	return &ExitError{Code: CodePending, Err: errors.Newf(
		"revision %d is not accepted yet; missing cells: %s\nA recorded revision comes into force there as soon as these cells are reachable; see cardamomseam status --revision %d.",
		s.Revision, strings.Join(s.UnconfirmedCells(), ", "), s.Revision)}
}

// awaitAcceptance waits until the change is accepted and reports each cell that confirms it.
func (r invocation) awaitAcceptance(ctx context.Context, recorded seamapi.ChangeResult) error {
	start := time.Now()
	limit := r.Duration(flagLimit)
	seen := map[string]bool{}
	for {
		wait := min(maxWaitPerCall, max(0, limit-time.Since(start)))
		status, err := r.client.Revision(ctx, recorded.Revision, len(seen), wait)
		if err != nil {
			return err
		}
		elapsed := time.Since(start)
		r.reportCells(status, seen, elapsed)
		if status.Accepted {
			return r.reportAccepted(recorded, status, elapsed)
		}
		if elapsed >= limit {
			return r.reportPending(recorded, status, elapsed)
		}
	}
}

// reportCells prints the cells that have confirmed since the previous call.
func (r invocation) reportCells(s seamconfirm.Status, seen map[string]bool, elapsed time.Duration) {
	for _, c := range s.Cells {
		if !c.Accepted || seen[c.Cell] {
			continue
		}
		seen[c.Cell] = true
		if !r.out.json {
			r.out.printf("%s cell %s after %s (%d of %d)\n", r.out.colorize(green, "confirmed"), c.Cell, elapsed.Round(time.Millisecond), len(seen), len(s.Cells))
		}
	}
}

func (r invocation) reportAccepted(recorded seamapi.ChangeResult, s seamconfirm.Status, elapsed time.Duration) error {
	if r.out.json {
		return r.out.writeJSON(acceptanceOutput{Recorded: recorded, Status: s, After: elapsed.Milliseconds()})
	}
	r.out.printf("%s: revision %d is in force in all %d cells\n", r.out.colorize(green, "accepted"), s.Revision, len(s.Cells))
	return nil
}

// reportPending reports a change that was not accepted in time.
func (r invocation) reportPending(recorded seamapi.ChangeResult, s seamconfirm.Status, elapsed time.Duration) error {
	if r.out.json {
		if err := r.out.writeJSON(acceptanceOutput{Recorded: recorded, Status: s, After: elapsed.Milliseconds()}); err != nil {
			return err
		}
	}
	return pendingError(s)
}

// acceptanceOutput is the JSON output of a change with --wait.
type acceptanceOutput struct {
	Recorded seamapi.ChangeResult `json:"recorded"`
	Status   seamconfirm.Status   `json:"status"`
	// After is the time from the recording to the acceptance or to the end of the wait, in milliseconds.
	After int64 `json:"after"`
}

func printStatus(o output, s seamapi.StatusReport) {
	store := o.colorize(green, "reachable")
	if !s.Store.Reachable {
		store = o.colorize(red, "unreachable")
	}
	o.printf("node %s, rules at revision %d, store %s since %s\n\n", s.Node, s.Revision, store, s.Store.Since.Format(time.RFC3339))
	cells := table{header: []string{"CELL", "REGION", "REVISION", "EPOCH", "COORDINATOR", "BACKUP", "OWNED", "OWNERS", "CHANGED", "STORE"}}
	for _, c := range s.Cells {
		if c.AnsweredBy == "" {
			cells.add(c.Cell, c.Region, unknownValue, c.Epoch, c.Coordinator, c.Backup, fmt.Sprintf("%s/%d", unknownValue, c.Slots), unknownValue, unknownValue, tableCell{"no answer", red})
			continue
		}
		cells.add(c.Cell, c.Region, formatRevision(c.Revision, c), c.Epoch, c.Coordinator, c.Backup, fmt.Sprintf("%d/%d", c.Owned, c.Slots), formatOwners(c.Owners), c.ChangedAt.Format(time.RFC3339), reachability(c.Reachable))
	}
	cells.write(o)
	printUnansweredCells(o, s.Cells)
	o.printf("\n")
	nodes := table{header: []string{"NODE", "REGION", "DOMAIN", "CELL", "SERVICE", "REVISION", "LOAD", "QUEUE", "OWNED", "STATE"}}
	cellOf := map[string]seamapi.CellStatus{}
	for _, c := range s.Cells {
		cellOf[c.Cell] = c
	}
	for _, n := range s.Nodes {
		nodes.add(n.Node, n.Region, n.Domain, n.Cell, n.Service, formatRevision(n.Revision, cellOf[n.Cell]), fmt.Sprintf("%d/%d", n.Load, n.Slots), formatQueue(n.Queue), n.Owned, n.State)
	}
	nodes.write(o)
}

// unknownValue is shown for a value that no node reported.
const unknownValue = "?"

// formatRevision formats a revision. Only the cell's coordinator reports it, so it is unknown if
// the coordinator did not answer.
func formatRevision(revision int64, c seamapi.CellStatus) string {
	if revision == 0 && c.Fault != "" {
		return unknownValue
	}
	return strconv.FormatInt(revision, 10)
}

func formatQueue(length *int) string {
	if length == nil {
		return unknownValue
	}
	return strconv.Itoa(*length)
}

// printUnansweredCells prints the cells whose coordinators did not answer, with the reason.
func printUnansweredCells(o output, cells []seamapi.CellStatus) {
	for _, c := range cells {
		switch {
		case c.Fault == "":
		case c.AnsweredBy == "":
			o.printf("%s cell %s could not be queried: %s\n", o.colorize(red, "unknown:"), c.Cell, c.Fault)
		default:
			o.printf("%s %s answers for cell %s: %s\n", o.colorize(yellow, "partial:"), c.AnsweredBy, c.Cell, c.Fault)
		}
	}
}

func formatOwners(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}

func reachability(ok bool) tableCell {
	if ok {
		return tableCell{"reachable", green}
	}
	return tableCell{"unreachable", red}
}

func watchCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "watch",
		Usage:     "show events of a node as they happen",
		ArgsUsage: "[PREFIX]",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "recent", Usage: "show the buffered recent events and exit"}},
	}, func(ctx context.Context, r invocation) error {
		return r.client.Events(ctx, r.Args().First(), !r.Bool("recent"), func(e seamevent.Event) error {
			if r.out.json {
				return r.out.writeJSONLine(e)
			}
			r.out.printf("%s  %s  %s  %s\n", e.Time.Format(time.RFC3339Nano), e.Node, r.out.colorize(bold, e.Name), formatFields(e.Fields))
			return nil
		})
	})
}

func formatFields(f seamevent.Fields) string {
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
	return withCommonFlags(&cli.Command{
		Name:      "drain",
		Usage:     "make a node stop accepting new work, hand over its slots, finish requests in flight and stop",
		ArgsUsage: "NODE",
		Description: "NODE may be in any cell, and --address may name any node. The command returns when the node has received the request. The command status shows " +
			"the node as draining until it has stopped, and then no longer lists it. The command is idempotent.",
	}, func(ctx context.Context, r invocation) error {
		args, err := r.exactArgs("NODE")
		if err != nil {
			return err
		}
		result, err := r.client.Drain(ctx, args[0])
		return r.reportOperation(result, err)
	})
}

func attestCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "attest",
		Usage:     "confirm that the coordinator and the backup of a cell are permanently lost",
		ArgsUsage: "CELL INSTANCE ...",
		Description: "Name both, as shown by status; --address may name any node. The cell then need not wait for their leases to expire. " +
			"If one of them is still running, two servers may own the same key: make sure that both processes have ended. The command is refused if either of them answers.",
	}, func(ctx context.Context, r invocation) error {
		args, err := r.minArgs("CELL", "INSTANCE")
		if err != nil {
			return err
		}
		result, err := r.client.Attest(ctx, args[0], args[1:])
		return r.reportOperation(result, err)
	})
}

func (r invocation) reportOperation(o seamapi.OperationResult, err error) error {
	if err != nil {
		return err
	}
	if r.out.json {
		return r.out.writeJSON(o)
	}
	r.out.printf("%s of %s requested; see cardamomseam status\n", o.Operation, o.Subject)
	return nil
}

func tokenCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "token",
		Usage:     "generate a token for a team and its hash for the settings",
		ArgsUsage: " ",
	}, func(_ context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		token, hash := seamauth.NewToken()
		if r.out.json {
			return r.out.writeJSON(tokenOutput{Token: token, Hash: hash})
		}
		r.out.printf("token  %s\nhash   %s\n", token, hash)
		r.out.printf("Give the token to the team. Put only the hash into the settings of the nodes.\n")
		return nil
	})
}

// tokenOutput is the JSON output of the command token.
type tokenOutput struct {
	Token string `json:"token"`
	Hash  string `json:"hash"`
}
