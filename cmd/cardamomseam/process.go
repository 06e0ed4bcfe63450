package main

import (
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamtrace"
)

// settingsFlag names the file of settings of a node.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "YAML `FILE` of settings"}
}

// startTracing starts the spans of the process.
func startTracing(t seamsetting.Trace) (*seamtrace.Ring, func()) {
	return seamtrace.New(seamtrace.Config{
		Name:     "cardamomseam",
		Sampler:  t.Sampler,
		Endpoint: t.Endpoint,
		Batcher:  t.Batcher,
	})
}
