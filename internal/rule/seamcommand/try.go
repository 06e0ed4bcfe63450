package seamcommand

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamapi"
)

func tryCommand() *cli.Command {
	return withCommonFlags(&cli.Command{
		Name:        "try",
		Usage:       "show the effect of a document, without changing anything",
		ArgsUsage:   " ",
		Description: "Evaluates the document in --file, or the document in force of the service in --service. With --path it also shows how a request would be routed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "`FILE` with the document, - for standard input"},
			&cli.StringFlag{Name: "service", Aliases: []string{"s"}, Usage: "`NAME` of the service whose document in force is evaluated"},
			&cli.StringFlag{Name: "method", Aliases: []string{"m"}, Value: "GET", Usage: "`METHOD` of the request"},
			&cli.StringFlag{Name: "path", Aliases: []string{"p"}, Usage: "`PATH` of the request including the query"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME:VALUE` of a header of the request"},
			&cli.StringFlag{Name: "region", Usage: "`REGION` of the caller"},
		},
	}, func(ctx context.Context, r invocation) error {
		if _, err := r.exactArgs(); err != nil {
			return err
		}
		t, err := r.tryRequest()
		if err != nil {
			return err
		}
		result, err := r.client.Try(ctx, t)
		if err != nil {
			r.printProblem(err)
			return err
		}
		if r.out.json {
			return r.out.writeJSON(result)
		}
		printTryResult(r, result)
		return nil
	})
}

func (r invocation) tryRequest() (seamapi.TryRequest, error) {
	t := seamapi.TryRequest{Service: r.String("service")}
	if file := r.String(flagFile); file != "" {
		text, err := readFile(file)
		if err != nil {
			return t, err
		}
		t.Document = string(text)
	}
	if t.Document == "" && t.Service == "" {
		return t, usageErrorf("try requires --file or --service")
	}
	if r.String("path") == "" {
		return t, nil
	}
	t.Request = &seamapi.Request{
		Method:  r.String("method"),
		Path:    r.String("path"),
		Region:  r.String("region"),
		Headers: map[string]string{},
	}
	for _, h := range r.StringSlice("header") {
		name, value, found := strings.Cut(h, ":")
		if !found {
			return t, usageErrorf("invalid --header %q: must be NAME:VALUE", h)
		}
		t.Request.Headers[name] = strings.TrimSpace(value)
	}
	return t, nil
}

func printTryResult(r invocation, t seamapi.TryResult) {
	r.printWarnings(t.Warnings)
	if t.Difference != "" {
		r.out.writeDiff(t.Difference)
	}
	if f := t.Refusal; f != nil {
		r.out.printf("%s status %d, reason %s: %s\n", r.out.colorize(red, "refused:"), f.Status, f.Reason, f.Text)
	}
	if t.Trial == nil {
		return
	}
	r.out.printf("selector  %s\n", t.Trial.Selector)
	if t.Trial.Keyed {
		r.out.printf("key       %s\nslot      %d, served by its owner only\n", t.Trial.Key, t.Trial.Slot)
	}
	l := t.Trial.Limits
	r.out.printf("limits    deadline %d ms, retries %d, queue %d\n", l.DeadlineMillis, l.Retries, l.QueueLength)
	r.out.printf("targets   %s\n", strings.Join(t.Trial.Targets, ", "))
}
