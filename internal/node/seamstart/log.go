package seamstart

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
)

// LogConfig says what a node logs, and where.
type LogConfig struct {
	// Node is the name of the node.
	Node string
	// Log are its settings.
	Log seamsetting.Log
	// Out takes the lines.
	Out io.Writer
	// Bridge writes go-zero's log, which is one for the process, through the node's log.
	Bridge bool
}

// Log starts the log of a node, which c stops.
func StartLog(c *Cleanups, cfg LogConfig, stream *seamevent.Stream, set *metrics.Set) (*seamlog.Log, error) {
	sink, stop, err := seamlog.New(seamlog.Config{
		Node:   cfg.Node,
		Level:  cfg.Log.Level,
		Format: cfg.Log.Format,
		Out:    cfg.Out,
	}, stream, set)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	c.Add(stop)
	if cfg.Bridge {
		c.Add(seamlog.BridgeGoZero(sink))
	}
	return sink, nil
}
