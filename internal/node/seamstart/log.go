package seamstart

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
)

// LogConfig configures StartLog.
type LogConfig struct {
	// Node is the node's name, which is part of each log line.
	Node string
	// Log sets the level and the format of the log.
	Log seamsetting.Log
	// Out receives the log lines.
	Out io.Writer
	// Bridge redirects go-zero's process-wide log to the node's log.
	Bridge bool
}

// StartLog starts the log of a node and adds its clean-up to c.
func StartLog(c *Cleanups, cfg LogConfig, stream *seamevent.Stream, set *metrics.Set) (*seamlog.Log, error) {
	sink, stop, err := seamlog.New(seamlog.Config{
		Node:   cfg.Node,
		Level:  cfg.Log.Level,
		Format: cfg.Log.Format,
		Out:    cfg.Out,
	}, stream, set)
	if err != nil {
		return nil, errors.Wrap(err, "start the log")
	}
	c.Add(stop)
	if cfg.Bridge {
		c.Add(seamlog.BridgeGoZero(sink))
	}
	return sink, nil
}
