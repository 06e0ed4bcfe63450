package seamlog

import (
	"fmt"
	"io"
	"strings"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// goZeroSource is the value of the field source in log lines that come from go-zero.
const goZeroSource = "go-zero"

// httpClientLogFile is the go-zero source file that logs each HTTP client call.
const httpClientLogFile = "internal/loginterceptor.go"

// goZeroLogConfig is applied before any go-zero server is built. go-zero's log ignores every later
// configuration; otherwise the configuration of a server would replace the writer of the bridge.
var goZeroLogConfig = logx.LogConf{Mode: "console", Level: "info"}

// BridgeGoZero redirects go-zero's process-wide log to l and disables its statistics.
// The returned function restores the previous log writer, but not the statistics.
func BridgeGoZero(l *Log) (restore func()) {
	if err := logx.SetUp(goZeroLogConfig); err != nil {
		l.Logger.WithError(err).WithField("source", goZeroSource).Error("cannot set up the go-zero log")
	}
	previous := logx.Reset()
	logx.DisableStat()
	logx.SetWriter(&bridge{logger: l.Logger})
	return func() {
		logx.Reset()
		if previous != nil {
			logx.SetWriter(previous)
		}
	}
}

// bridge is a logx.Writer that forwards go-zero's log to apex/log.
type bridge struct {
	logger *log.Logger
}

// Alert logs at level error.
func (b *bridge) Alert(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Close does nothing: the log that receives the lines is stopped by the function that New returned.
func (b *bridge) Close() error { return nil }

// Debug logs at level debug.
func (b *bridge) Debug(v any, fields ...logx.LogField) { b.entry(fields).Debug(fmt.Sprint(v)) }

// Error logs at level error.
func (b *bridge) Error(v any, fields ...logx.LogField) { b.entry(fields).Error(fmt.Sprint(v)) }

// Info logs at level info. It drops the lines that go-zero writes for each HTTP client call, since
// the metrics already count the calls.
func (b *bridge) Info(v any, fields ...logx.LogField) {
	if isHTTPClientCall(fields) {
		return
	}
	b.entry(fields).Info(fmt.Sprint(v))
}

func isHTTPClientCall(fields []logx.LogField) bool {
	for _, f := range fields {
		if caller, ok := f.Value.(string); ok && f.Key == "caller" {
			return strings.HasPrefix(caller, httpClientLogFile)
		}
	}
	return false
}

// Severe logs at level error.
func (b *bridge) Severe(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Slow logs at level warn.
func (b *bridge) Slow(v any, fields ...logx.LogField) { b.entry(fields).Warn(fmt.Sprint(v)) }

// Stack logs at level error.
func (b *bridge) Stack(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Stat drops go-zero's statistics, because the node exports its own metrics.
func (b *bridge) Stat(any, ...logx.LogField) {}

func (b *bridge) entry(fields []logx.LogField) *log.Entry {
	logFields := log.Fields{"source": goZeroSource}
	for _, f := range fields {
		logFields[f.Key] = f.Value
	}
	return b.logger.WithFields(logFields)
}

// DiscardGoZero discards go-zero's process-wide log and disables its statistics. The returned function
// restores the previous log writer, but neither the log level nor the statistics.
func DiscardGoZero() (restore func()) {
	previous := logx.Reset()
	logx.DisableStat()
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(logx.NewWriter(io.Discard))
	return func() {
		logx.Reset()
		if previous != nil {
			logx.SetWriter(previous)
		}
	}
}
