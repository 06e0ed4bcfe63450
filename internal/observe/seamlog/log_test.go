package seamlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/observe/seamlog"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// logLines runs f with a log and returns the lines that it wrote.
func logLines(t *testing.T, level, format string, f func(*seamlog.Log)) []string {
	t.Helper()
	var out bytes.Buffer
	c := seamlog.Config{Node: "n1", Level: level, Format: format, Out: &out}
	l, stop, err := seamlog.New(c, seamevent.NewStream("n1"), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	f(l)
	stop()
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

func TestEmitWritesOneLineAndForwards(t *testing.T) {
	s := seamevent.NewStream("n1")
	var out bytes.Buffer
	c := seamlog.Config{Node: "n1", Level: "info", Format: "json", Out: &out}
	l, stop, err := seamlog.New(c, s, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	l.Emit(start, seamevent.SlotMoved, seamevent.Fields{"slot": "calendar/1"})
	stop()
	var line struct {
		Level, Message string
		Timestamp      time.Time
		Fields         map[string]string
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("not one line of JSON: %v: %s", err, out.String())
	}
	if line.Message != seamevent.SlotMoved || line.Level != "info" || !line.Timestamp.Equal(start) {
		t.Errorf("line is %+v", line)
	}
	if line.Fields["slot"] != "calendar/1" || line.Fields["node"] != "n1" {
		t.Errorf("fields are %v", line.Fields)
	}
	if n := len(s.Recent()); n != 1 {
		t.Errorf("%d events were forwarded, want 1", n)
	}
}

func TestEachRequestEventHasItsOwnRateLimit(t *testing.T) {
	const emitted = 1000
	lines := logLines(t, "info", "json", func(l *seamlog.Log) {
		for range emitted {
			l.Emit(start, seamevent.RequestDone, nil)
		}
		l.Emit(start, seamevent.RequestRefused, nil)
		l.Emit(start, seamevent.RequestUnknown, nil)
	})
	counts := map[string]int{}
	for _, line := range lines {
		var l struct{ Message string }
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		counts[l.Message]++
	}
	if n := counts[seamevent.RequestDone]; n == 0 || n >= emitted/10 {
		t.Errorf("%d of %d successes in a burst were logged", n, emitted)
	}
	if counts[seamevent.RequestRefused] != 1 || counts[seamevent.RequestUnknown] != 1 {
		t.Errorf("failures after many successes were not logged: %v", counts)
	}
}

func TestRequestDoneIsNotForwarded(t *testing.T) {
	s := seamevent.NewStream("n1")
	l, stop, err := seamlog.New(seamlog.Config{Node: "n1", Level: "info", Format: "json", Out: io.Discard}, s, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	l.Emit(start, seamevent.RequestDone, nil)
	l.Emit(start, seamevent.RequestRefused, nil)
	if events := s.Recent(); len(events) != 1 || events[0].Name != seamevent.RequestRefused {
		t.Errorf("forwarded %v", events)
	}
}

func TestTextLine(t *testing.T) {
	lines := logLines(t, "debug", "text", func(l *seamlog.Log) {
		l.Emit(start, seamevent.StoreDown, seamevent.Fields{"error": "no route\nto host", "calls": 3})
	})
	want := `May  1 09:00:00.000 warn  store.down calls=3 error="no route\nto host" node=n1`
	if len(lines) != 1 || lines[0] != want {
		t.Fatalf("got %q, want %q", lines, want)
	}
}

func TestBridgeForwardsGoZeroLog(t *testing.T) {
	lines := logLines(t, "info", "text", func(l *seamlog.Log) {
		defer seamlog.BridgeGoZero(l)()
		logx.Infow("listening", logx.Field("port", 1))
		logx.Stat("cpu: 1%")
		logx.Debug("detail")
	})
	if len(lines) != 1 || !strings.Contains(lines[0], "listening") || !strings.Contains(lines[0], "source=go-zero") {
		t.Fatalf("got %q", lines)
	}
}

// TestBridgeSurvivesServerSetup applies a service configuration, as a go-zero server does when it is
// built. This sets up go-zero's log again, whose lines must still go to the node's log, which is
// bounded and never blocks.
func TestBridgeSurvivesServerSetup(t *testing.T) {
	lines := logLines(t, "info", "text", func(l *seamlog.Log) {
		defer seamlog.BridgeGoZero(l)()
		conf := service.ServiceConf{Name: "n", Mode: service.ProMode, Log: logx.LogConf{Mode: "console", Level: "error"}}
		conf.Telemetry.Disabled = true
		if err := conf.SetUp(); err != nil {
			t.Error(err)
		}
		logx.Error("call failed")
	})
	if len(lines) != 1 || !strings.Contains(lines[0], "call failed") || !strings.Contains(lines[0], "source=go-zero") {
		t.Fatalf("got %q", lines)
	}
}

func TestLineIsWrittenWhenFieldsCannotBeEncoded(t *testing.T) {
	lines := logLines(t, "info", "json", func(l *seamlog.Log) {
		l.Emit(start, seamevent.NodeStarted, seamevent.Fields{"load": math.NaN()})
	})
	if len(lines) != 1 || !strings.Contains(lines[0], seamevent.NodeStarted) {
		t.Fatalf("got %q", lines)
	}
}

// blockedWriter blocks all writes until unblocked is closed.
type blockedWriter struct{ unblocked chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblocked
	return len(p), nil
}

func TestEmitDoesNotBlockOnBlockedOutput(t *testing.T) {
	out := blockedWriter{unblocked: make(chan struct{})}
	m := metrics.NewSet()
	c := seamlog.Config{Node: "n1", Level: "info", Format: "json", Out: out}
	l, stop, err := seamlog.New(c, seamevent.NewStream("n1"), m)
	if err != nil {
		t.Fatal(err)
	}
	for range 10_000 {
		l.Emit(start, seamevent.NodeStarted, nil)
	}
	close(out.unblocked)
	stop()
	if m.GetOrCreateCounter("cardamomseam_log_dropped_total").Get() == 0 {
		t.Fatal("no dropped line was counted")
	}
}

func TestNewRejectsUnknownFormat(t *testing.T) {
	c := seamlog.Config{Level: "info", Format: "xml"}
	_, _, err := seamlog.New(c, seamevent.NewStream("n1"), metrics.NewSet())
	var e *seamlog.UnknownFormatError
	if !errors.As(err, &e) || e.Format != "xml" {
		t.Fatalf("error is %v", err)
	}
}
