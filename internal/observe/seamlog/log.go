// Package seamlog writes the log of a node: one structured line an event, under the
// names of the event stream. Bridge adds go-zero's own log.
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

// Config shapes the log.
type Config struct {
	// Node is the name of the node, a field of each line.
	Node string
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
	// Format is the form of a line: json or text.
	Format string
	// Out takes the lines.
	Out io.Writer
}

// UnknownFormatError says that no handler has the name.
type UnknownFormatError struct {
	Format string
}

// Error names the format.
func (e *UnknownFormatError) Error() string {
	return fmt.Sprintf("log format %q is unknown", e.Format)
}

// formats are the handlers by the name of their format.
var formats = map[string]func(io.Writer) log.Handler{
	"json": func(w io.Writer) log.Handler { return json.New(w) },
	"text": func(w io.Writer) log.Handler { return newTextHandler(w) },
}

// levels are the levels of the events that are not logged at info.
var levels = map[string]log.Level{
	seamevent.TargetLost:      log.WarnLevel,
	seamevent.CellMemberLost:  log.WarnLevel,
	seamevent.CellStopped:     log.WarnLevel,
	seamevent.SlotsExpired:    log.WarnLevel,
	seamevent.StoreDown:       log.WarnLevel,
	seamevent.RequestUnknown:  log.WarnLevel,
	seamevent.InvariantBroken: log.ErrorLevel,
}

// Log is a seamevent.Sink that writes each event to the log and hands it on.
type Log struct {
	// Logger takes lines that are no events.
	Logger *log.Logger

	node    string
	next    seamevent.Sink
	metrics *metrics.Set
	budgets map[string]*rate.Limiter
}

// New starts a log in front of next. The clean-up function writes what is queued, within
// a second. The error is *UnknownFormatError or apex/log's for an unknown level.
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
		Logger:  &log.Logger{Handler: withNode(q, c.Node), Level: level},
		node:    c.Node,
		next:    next,
		metrics: m,
		budgets: newBudgets(),
	}
	return l, stop, nil
}

// withNode adds the node's name to each entry.
func withNode(next log.Handler, node string) log.Handler {
	return log.HandlerFunc(func(e *log.Entry) error {
		e.Fields["node"] = node
		return next.HandleLog(e)
	})
}

// Emit logs an event at its level and hands it on.
func (l *Log) Emit(now time.Time, name string, fields seamevent.Fields) {
	l.metrics.GetOrCreateCounter(fmt.Sprintf("cardamomseam_events_total{name=%q}", name)).Inc()
	if l.allowed(now, name) {
		l.write(now, name, fields)
	}
	if name != seamevent.RequestDone {
		l.next.Emit(now, name, fields)
	}
}

func (l *Log) write(now time.Time, name string, fields seamevent.Fields) {
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
	_ = l.Logger.Handler.HandleLog(e) // the queue counts what it drops
}
