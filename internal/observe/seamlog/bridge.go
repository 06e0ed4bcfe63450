package seamlog

import (
	"fmt"
	"io"
	"strings"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// source is the value of the field that marks go-zero's lines.
const source = "go-zero"

// interceptor is the file of go-zero that logs each call of an HTTP client.
const interceptor = "internal/loginterceptor.go"

// setting is the first one of go-zero's log, which ignores all later ones: those of the
// servers would write past the bridge.
var setting = logx.LogConf{Mode: "console", Level: "info"}

// Bridge writes go-zero's log, which is one for the process, through l and turns its
// statistics off. The clean-up function gives go-zero's log back.
func BridgeGoZero(l *Log) (restore func()) {
	if err := logx.SetUp(setting); err != nil {
		l.Logger.WithError(err).WithField("source", source).Error("log of go-zero not set up")
	}
	former := logx.Reset()
	logx.DisableStat()
	logx.SetWriter(&bridge{logger: l.Logger})
	return func() {
		logx.Reset()
		if former != nil {
			logx.SetWriter(former)
		}
	}
}

// bridge is the logx.Writer that passes go-zero's log to apex/log.
type bridge struct {
	logger *log.Logger
}

// Alert logs an error.
func (b *bridge) Alert(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Close does nothing; the log is closed by the clean-up function of New.
func (b *bridge) Close() error { return nil }

// Debug logs at debug.
func (b *bridge) Debug(v any, fields ...logx.LogField) { b.entry(fields).Debug(fmt.Sprint(v)) }

// Error logs an error.
func (b *bridge) Error(v any, fields ...logx.LogField) { b.entry(fields).Error(fmt.Sprint(v)) }

// Info logs at info, but for the lines about each call of an HTTP client, which metrics count.
func (b *bridge) Info(v any, fields ...logx.LogField) {
	if fromInterceptor(fields) {
		return
	}
	b.entry(fields).Info(fmt.Sprint(v))
}

func fromInterceptor(fields []logx.LogField) bool {
	for _, f := range fields {
		if caller, ok := f.Value.(string); ok && f.Key == "caller" {
			return strings.HasPrefix(caller, interceptor)
		}
	}
	return false
}

// Severe logs an error.
func (b *bridge) Severe(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Slow logs a warning.
func (b *bridge) Slow(v any, fields ...logx.LogField) { b.entry(fields).Warn(fmt.Sprint(v)) }

// Stack logs an error.
func (b *bridge) Stack(v any) { b.entry(nil).Error(fmt.Sprint(v)) }

// Stat drops go-zero's own statistics; the node has metrics.
func (b *bridge) Stat(any, ...logx.LogField) {}

func (b *bridge) entry(fields []logx.LogField) *log.Entry {
	named := log.Fields{"source": source}
	for _, f := range fields {
		named[f.Key] = f.Value
	}
	return b.logger.WithFields(named)
}

// Silence drops go-zero's log, which is one for the process. The returned
// function gives it back.
func DiscardGoZero() (restore func()) {
	former := logx.Reset()
	logx.DisableStat()
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(logx.NewWriter(io.Discard))
	return func() {
		logx.Reset()
		if former != nil {
			logx.SetWriter(former)
		}
	}
}
