package main

import (
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamtrace"
)

// settingsFlag returns the required flag that names the settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "YAML settings `FILE`"}
}

// startTracing sets up tracing for the process. It returns the ring buffer of recent spans and a
// function that stops tracing.
func startTracing(t seamsetting.Trace) (*seamtrace.Ring, func()) {
	return seamtrace.New(seamtrace.Config{
		ServiceName: "cardamomseam",
		SampleRatio: t.Sampler,
		Endpoint:    t.Endpoint,
		Exporter:    t.Batcher,
	})
}
