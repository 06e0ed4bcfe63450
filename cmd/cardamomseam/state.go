package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomseam/internal/node/seamrouter"
	"cardamomseam/internal/rule/seamcommand"
)

// stateTimeout is the maximum duration of the request to the node.
const stateTimeout = 3 * time.Second

func stateCommand() *cli.Command {
	return &cli.Command{
		Name:         "state",
		Usage:        "print the view of a node run by serve: members, owners, routes and the store",
		Flags:        []cli.Flag{&cli.StringFlag{Name: "address", Aliases: []string{"a"}, Required: true, Usage: "`IP:PORT` on which the node serves its metrics (the metrics setting)"}},
		OnUsageError: seamcommand.OnUsageError,
		Action:       runState,
	}
}

func runState(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.String("address")+seamrouter.StatePath, nil)
	if err != nil {
		return seamcommand.UsageError(err)
	}
	res, err := httpc.DoRequest(r)
	if err != nil {
		return errors.Wrap(err, "query the node")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("the node responded with status %d", res.StatusCode)
	}
	if _, err := io.Copy(os.Stdout, res.Body); err != nil {
		return errors.Wrap(err, "read the response")
	}
	fmt.Println()
	return nil
}
