// Package seamlog writes a node's structured log, one line per event, with the event name as
// the message. BridgeGoZero adds the log lines of go-zero.
package seamlog

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"

	"cardamomseam/internal/observe/seamevent"
)

// Config configures a Log.
type Config struct {
	// Node is the name of the node, written as a field of each line.
	Node string
	// Level is the minimum level: debug, info, warn or error.
	Level string
	// Format is the line format: json or text.
	Format string
	// Out receives the lines.
	Out io.Writer
}

// UnknownFormatError reports a log format that is neither json nor text.
type UnknownFormatError struct {
	Format string
}

// Error returns a message with the format.
func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("log format %q is unknown", e.Format)
}

// formats maps the name of a format to the constructor of its handler.
var formats = map[string]func(io.Writer) log.Handler{
	"json": func(w io.Writer) log.Handler { return json.New(w) },
	"text": func(w io.Writer) log.Handler { return newTextHandler(w) },
}

// levels holds the log levels of events by name. Other events are logged at level info.
var levels = map[string]log.Level{
	seamevent.TargetLost:      log.WarnLevel,
	seamevent.CellMemberLost:  log.WarnLevel,
	seamevent.CellStopped:     log.WarnLevel,
	seamevent.SlotsExpired:    log.WarnLevel,
	seamevent.StoreDown:       log.WarnLevel,
	seamevent.RequestUnknown:  log.WarnLevel,
	seamevent.InvariantBroken: log.ErrorLevel,
}

// Log is a seamevent.Sink that logs events and forwards them to the next sink.
type Log struct {
	// Logger writes lines that are not events.
	Logger *log.Logger

	node         string
	next         seamevent.Sink
	metrics      *metrics.Set
	rateLimiters map[string]*rate.Limiter
}

// New returns a running log that forwards events to next, and a function that stops it. That
// function waits up to a second for the queued lines to be written. The error is an
// *UnknownFormatError or, for an unknown level, that of apex/log.
func New(c Config, next seamevent.Sink, m *metrics.Set) (*Log, func(), error) {
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		return nil, nil, err
	}
	format, ok := formats[c.Format]
	if !ok {
		return nil, nil, &UnknownFormatError{Format: c.Format}
	}
	q, stop := newQueue(format(c.Out), m)
	l := &Log{
		Logger:       &log.Logger{Handler: withNode(q, c.Node), Level: level},
		node:         c.Node,
		next:         next,
		metrics:      m,
		rateLimiters: newRateLimiters(),
	}
	return l, stop, nil
}

// withNode returns a handler that adds the node name to each entry.
func withNode(next log.Handler, node string) log.Handler {
	return log.HandlerFunc(func(e *log.Entry) error {
		e.Fields["node"] = node
		return next.HandleLog(e)
	})
}

// Emit logs an event, subject to its level and rate limit, and forwards it to the next sink.
// It does not forward successful requests.
func (l *Log) Emit(now time.Time, name string, fields seamevent.Fields) {
	l.metrics.GetOrCreateCounter(fmt.Sprintf("cardamomseam_events_total{name=%q}", name)).Inc()
	if l.allowLine(now, name) {
		l.writeEvent(now, name, fields)
	}
	if name != seamevent.RequestDone {
		l.next.Emit(now, name, fields)
	}
}

func (l *Log) writeEvent(now time.Time, name string, fields seamevent.Fields) {
	level, ok := levels[name]
	if !ok {
		level = log.InfoLevel
	}
	if level < l.Logger.Level {
		return
	}
	copied := make(log.Fields, len(fields)+1)
	for k, v := range fields {
		copied[k] = v
	}
	e := &log.Entry{Logger: l.Logger, Fields: copied, Level: level, Timestamp: now, Message: name}
	_ = l.Logger.Handler.HandleLog(e) // the queue counts the lines it drops
}
