package seamcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamdiff"
	"cardamomseam/internal/rule/seamlabel"
	"cardamomseam/internal/rule/seamrule"
)

func getCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "get",
		Usage:     "list the documents, or show the document of one service",
		ArgsUsage: "[SERVICE]",
	}, func(ctx context.Context, r invocation) error {
		if r.Args().Len() == 0 {
			return listRules(ctx, r)
		}
		args, err := r.exactArgs("SERVICE")
		if err != nil {
			return err
		}
		rules, err := r.client.Get(ctx, args[0])
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.writeJSON(rules)
		}
		r.out.printf("# revision %d%s\n%s", rules.Revision, sourceNote(rules), rules.Text)
		return nil
	})
}

func listRules(ctx context.Context, r invocation) error {
	list, err := r.client.List(ctx)
	if err != nil {
		return err
	}
	if r.out.json {
		return r.out.writeJSON(list)
	}
	t := table{header: []string{"SERVICE", "REVISION", "KEYED", "SELECTORS"}}
	for _, i := range list.Rules {
		t.add(i.Service, i.Revision, i.Keyed, i.Selectors)
	}
	t.write(r.out)
	return nil
}

// sourceNote describes where the document comes from: the author and time of the recorded version, or
// the rules in force at the node if the store could not be read.
func sourceNote(rules seamapi.RuleResponse) string {
	if rules.Source == seamapi.SourceMemory {
		return ", in force at this node; the store could not be read"
	}
	if rules.Time == nil {
		return ""
	}
	return " by " + rules.Author + " at " + rules.Time.Format(time.RFC3339)
}

func historyCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "history",
		Usage:     "show the changes of a service, latest first",
		ArgsUsage: "SERVICE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "text", Usage: "show the diffs between versions"}},
	}, func(ctx context.Context, r invocation) error {
		args, err := r.exactArgs("SERVICE")
		if err != nil {
			return err
		}
		h, err := r.client.History(ctx, args[0])
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.writeJSON(h)
		}
		if r.Bool("text") {
			printVersions(r.out, h)
			return nil
		}
		t := table{header: []string{"NUMBER", "REVISION", "TIME", "AUTHOR", "ACTION", "WRITER"}}
		for _, c := range h.Changes {
			t.add(c.Number, c.Revision, c.Time.Format(time.RFC3339), c.Author, c.Action, c.Writer)
		}
		t.write(r.out)
		return nil
	})
}

// printVersions prints each change as a diff from the preceding version. It prints the whole text if
// that of the preceding version is not retained.
func printVersions(o output, history seamapi.History) {
	for i, c := range history.Changes {
		title := fmt.Sprintf("revision %d, %s by %s at %s", c.Revision, c.Action, c.Author, c.Time.Format(time.RFC3339))
		o.printf("%s\n", o.colorize(bold, title))
		if c.Text == "" || i+1 == len(history.Changes) || history.Changes[i+1].Text == "" {
			o.printf("%s", c.Text)
			continue
		}
		o.writeDiff(seamdiff.Unified("before", history.Changes[i+1].Text, "after", c.Text))
	}
}

func setCommand() *cli.Command {
	return withChangeFlags(&cli.Command{
		Name:      "set",
		Usage:     "record a document",
		ArgsUsage: " ",
		Description: "A recorded change is durable. It is accepted, which means in force everywhere, once every cell has confirmed it; --wait waits for that. " +
			"Without --expect it replaces any current version.",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with the document as YAML or JSON, - for standard input"}},
	}, func(ctx context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		text, d, err := r.readDocument()
		if err != nil {
			return err
		}
		recorded, err := r.client.Put(ctx, d.Service, text, r.changeOptions())
		return r.reportChange(ctx, recorded, err)
	})
}

// readDocument reads and validates the document in --file.
func (r invocation) readDocument() ([]byte, seamrule.Document, error) {
	text, err := readFile(r.String(flagFile))
	if err != nil {
		return nil, seamrule.Document{}, err
	}
	d, err := seamrule.Parse(text)
	if err != nil {
		return nil, d, usageErrorf("%v\nNothing was changed. Correct the named fields and try again.", err)
	}
	return text, d, nil
}

// reportChange prints the result of a change. With --wait it also waits until every cell has confirmed
// the change.
func (r invocation) reportChange(ctx context.Context, recorded seamapi.ChangeResult, err error) error {
	if err != nil {
		r.printProblem(err)
		return err
	}
	if !r.out.json {
		r.out.printf("service %s recorded at revision %d\n", recorded.Service, recorded.Revision)
		r.printWarnings(recorded.Warnings)
	}
	if r.Bool(flagWait) {
		return r.awaitAcceptance(ctx, recorded)
	}
	if r.out.json {
		return r.out.writeJSON(recorded)
	}
	r.out.printf("the change is accepted once every cell confirms it; see cardamomseam status --revision %d\n", recorded.Revision)
	return nil
}

// printProblem prints an error response as JSON. In text output it prints only, for a conflict, the diff
// between the recorded and the refused document.
func (r invocation) printProblem(err error) {
	var p *seamapi.Problem
	if !errors.As(err, &p) {
		return
	}
	if r.out.json {
		_ = r.out.writeJSON(p)
		return
	}
	if p.Conflict != nil {
		r.out.writeDiff(p.Conflict.Difference)
	}
}

func (r invocation) printWarnings(warnings []seamrule.Warning) {
	for _, w := range warnings {
		r.out.printf("%s %s\n", r.out.colorize(yellow, "warning:"), w.Text)
	}
}

func deleteCommand() *cli.Command {
	return withChangeFlags(&cli.Command{
		Name:      "delete",
		Usage:     "delete the document of a service, so that its requests are refused",
		ArgsUsage: "SERVICE",
	}, func(ctx context.Context, r invocation) error {
		args, err := r.exactArgs("SERVICE")
		if err != nil {
			return err
		}
		recorded, err := r.client.Delete(ctx, args[0], r.changeOptions())
		return r.reportChange(ctx, recorded, err)
	})
}

func labelCommand() *cli.Command {
	return withChangeFlags(&cli.Command{
		Name:      "label",
		Usage:     "replace the operator-defined labels of an instance, or remove them if none are given",
		ArgsUsage: "SERVICE INSTANCE [LABEL=VALUE ...]",
	}, func(ctx context.Context, r invocation) error {
		args, err := r.minArgs("SERVICE", "INSTANCE")
		if err != nil {
			return err
		}
		labels, err := parseLabels(args[2:])
		if err != nil {
			return err
		}
		recorded, err := r.client.Label(ctx, args[0], args[1], labels, r.changeOptions())
		return r.reportChange(ctx, recorded, err)
	})
}

func parseLabels(args []string) (map[string]string, error) {
	labels := map[string]string{}
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		if !seamlabel.ValidName(name) || !seamlabel.ValidValue(value) {
			return nil, usageErrorf("invalid label %q: must be LABEL=VALUE", a)
		}
		labels[name] = value
	}
	return labels, nil
}

func diffCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:      "diff",
		Usage:     "compare a document with the recorded one",
		ArgsUsage: " ",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with the document, - for standard input"}},
	}, func(ctx context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		_, d, err := r.readDocument()
		if err != nil {
			return err
		}
		recorded, err := r.client.Get(ctx, d.Service)
		var p *seamapi.Problem
		if errors.As(err, &p) && p.Code == seamapi.CodeNotFound {
			err = nil
		}
		if err != nil {
			return err
		}
		text := seamdiff.Unified(diffTitle(recorded.Revision), recorded.Text, "file", string(seamrule.Format(d)))
		if r.out.json {
			return r.out.writeJSON(diffOutput{Service: d.Service, Revision: recorded.Revision, Difference: text})
		}
		if text == "" {
			r.out.printf("no difference from revision %d\n", recorded.Revision)
		}
		r.out.writeDiff(text)
		return nil
	})
}

// diffTitle returns the title of the recorded document in the header of a diff.
func diffTitle(revision int64) string {
	if revision == 0 {
		return "not recorded"
	}
	return fmt.Sprintf("recorded, revision %d", revision)
}

// diffOutput is the JSON output of the command diff.
type diffOutput struct {
	Service string `json:"service"`
	// Revision is the revision of the recorded document, or 0 if there is none.
	Revision   int64  `json:"revision"`
	Difference string `json:"difference"`
}
