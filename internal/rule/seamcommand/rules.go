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
	return command(&cli.Command{
		Name:      "get",
		Usage:     "show the documents, or the one of a service",
		ArgsUsage: "[SERVICE]",
	}, func(ctx context.Context, r run) error {
		if r.Args().Len() == 0 {
			return list(ctx, r)
		}
		args, err := r.only("SERVICE")
		if err != nil {
			return err
		}
		page, err := r.client.Get(ctx, args[0])
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.value(page)
		}
		r.out.printf("# revision %d%s\n%s", page.Revision, origin(page), page.Text)
		return nil
	})
}

func list(ctx context.Context, r run) error {
	listing, err := r.client.List(ctx)
	if err != nil {
		return err
	}
	if r.out.json {
		return r.out.value(listing)
	}
	t := table{head: []string{"SERVICE", "REVISION", "KEYED", "SELECTORS"}}
	for _, i := range listing.Rules {
		t.add(i.Service, i.Revision, i.Keyed, i.Selectors)
	}
	t.write(r.out)
	return nil
}

// origin tells who made the version, or that it is only what the node remembers.
func origin(p seamapi.RuleResponse) string {
	if p.Source == seamapi.SourceMemory {
		return ", in force at this node; the store could not be read"
	}
	if p.Time == nil {
		return ""
	}
	return " by " + p.Author + " at " + p.Time.Format(time.RFC3339)
}

func historyCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "history",
		Usage:     "show the changes of a service, latest first",
		ArgsUsage: "SERVICE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "text", Usage: "show the differences between versions"}},
	}, func(ctx context.Context, r run) error {
		args, err := r.only("SERVICE")
		if err != nil {
			return err
		}
		h, err := r.client.History(ctx, args[0])
		if err != nil {
			return err
		}
		if r.out.json {
			return r.out.value(h)
		}
		if r.Bool("text") {
			showVersions(r.out, h)
			return nil
		}
		t := table{head: []string{"NUMBER", "REVISION", "TIME", "AUTHOR", "ACTION", "WRITER"}}
		for _, c := range h.Changes {
			t.add(c.Number, c.Revision, c.Time.Format(time.RFC3339), c.Author, c.Action, c.Writer)
		}
		t.write(r.out)
		return nil
	})
}

// showVersions shows each change whose text is kept as the difference to the one before.
func showVersions(o output, h seamapi.History) {
	for i, c := range h.Changes {
		title := fmt.Sprintf("revision %d, %s by %s at %s", c.Revision, c.Action, c.Author, c.Time.Format(time.RFC3339))
		o.printf("%s\n", o.paint(bold, title))
		if c.Text == "" || i+1 == len(h.Changes) || h.Changes[i+1].Text == "" {
			o.printf("%s", c.Text)
			continue
		}
		o.difference(seamdiff.Unified("before", h.Changes[i+1].Text, "after", c.Text))
	}
}

func setCommand() *cli.Command {
	return changing(&cli.Command{
		Name:      "set",
		Usage:     "record a document",
		ArgsUsage: " ",
		Description: "A recorded change cannot be lost. It is accepted, that is in force everywhere, once every cell has confirmed it: --wait waits for that. " +
			"Without --expect it replaces whatever is there.",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with the document as YAML or JSON, - for standard input"}},
	}, func(ctx context.Context, r run) error {
		if _, err := r.only(); err != nil {
			return err
		}
		text, d, err := r.document()
		if err != nil {
			return err
		}
		recorded, err := r.client.Put(ctx, d.Service, text, r.edit())
		return r.finish(ctx, recorded, err)
	})
}

// document reads and checks the document of --file.
func (r run) document() ([]byte, seamrule.Document, error) {
	text, err := readFile(r.String(flagFile))
	if err != nil {
		return nil, seamrule.Document{}, err
	}
	d, err := seamrule.Parse(text)
	if err != nil {
		return nil, d, usage("%v\nNothing was changed. Correct the named fields and try again.", err)
	}
	return text, d, nil
}

// finish reports a change, and waits for its acceptance if asked to.
func (r run) finish(ctx context.Context, recorded seamapi.ChangeResult, err error) error {
	if err != nil {
		r.explain(err)
		return err
	}
	if !r.out.json {
		r.out.printf("service %s recorded at revision %d\n", recorded.Service, recorded.Revision)
		r.warn(recorded.Warnings)
	}
	if r.Bool(flagWait) {
		return r.await(ctx, recorded)
	}
	if r.out.json {
		return r.out.value(recorded)
	}
	r.out.printf("it is accepted once every cell confirms; see cardamomseam status --revision %d\n", recorded.Revision)
	return nil
}

// explain shows the difference to the change that won.
func (r run) explain(err error) {
	var p *seamapi.Problem
	if !errors.As(err, &p) {
		return
	}
	if r.out.json {
		_ = r.out.value(p)
		return
	}
	if p.Conflict != nil {
		r.out.difference(p.Conflict.Difference)
	}
}

func (r run) warn(warnings []seamrule.Warning) {
	for _, w := range warnings {
		r.out.printf("%s %s\n", r.out.paint(yellow, "warning:"), w.Text)
	}
}

func deleteCommand() *cli.Command {
	return changing(&cli.Command{
		Name:      "delete",
		Usage:     "delete the document of a service, so that its requests are refused",
		ArgsUsage: "SERVICE",
	}, func(ctx context.Context, r run) error {
		args, err := r.only("SERVICE")
		if err != nil {
			return err
		}
		recorded, err := r.client.Delete(ctx, args[0], r.edit())
		return r.finish(ctx, recorded, err)
	})
}

func labelCommand() *cli.Command {
	return changing(&cli.Command{
		Name:      "label",
		Usage:     "replace the operators' labels of an instance; without labels remove them",
		ArgsUsage: "SERVICE INSTANCE [LABEL=VALUE ...]",
	}, func(ctx context.Context, r run) error {
		args, err := r.arguments("SERVICE", "INSTANCE")
		if err != nil {
			return err
		}
		labels, err := parseLabels(args[2:])
		if err != nil {
			return err
		}
		recorded, err := r.client.Label(ctx, args[0], args[1], labels, r.edit())
		return r.finish(ctx, recorded, err)
	})
}

func parseLabels(args []string) (map[string]string, error) {
	labels := map[string]string{}
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		if !seamlabel.ValidName(name) || !seamlabel.ValidValue(value) {
			return nil, usage("%q is not LABEL=VALUE", a)
		}
		labels[name] = value
	}
	return labels, nil
}

func diffCommand() *cli.Command {
	return command(&cli.Command{
		Name:      "diff",
		Usage:     "compare a document with the recorded one",
		ArgsUsage: " ",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with the document, - for standard input"}},
	}, func(ctx context.Context, r run) error {
		if _, err := r.only(); err != nil {
			return err
		}
		_, d, err := r.document()
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
		text := seamdiff.Unified(recordedName(recorded.Revision), recorded.Text, "file", string(seamrule.Format(d)))
		if r.out.json {
			return r.out.value(difference{Service: d.Service, Revision: recorded.Revision, Difference: text})
		}
		if text == "" {
			r.out.printf("no difference from revision %d\n", recorded.Revision)
		}
		r.out.difference(text)
		return nil
	})
}

// recordedName names what was recorded in a difference.
func recordedName(revision int64) string {
	if revision == 0 {
		return "not recorded"
	}
	return fmt.Sprintf("recorded, revision %d", revision)
}

// difference is the output of diff as JSON.
type difference struct {
	Service string `json:"service"`
	// Revision is that of the recorded document, 0 if there is none.
	Revision   int64  `json:"revision"`
	Difference string `json:"difference"`
}
