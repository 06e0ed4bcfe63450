package seamegress_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
)

// TestBodyOfAPeerBeyondTheMemoryIsRefused guards against bodies from other nodes that fill the memory of the target's node, and against
// a refused request that runs.
func TestBodyOfAPeerBeyondTheMemoryIsRefused(t *testing.T) {
	var runs atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer target.Close()
	clock := seamclock.NewClock()
	announced := announcedTarget{Service: "booker", Name: "t", Address: target.Listener.Addr().String(), MaxConcurrency: 4}
	g := seamguard.New(1, metrics.NewSet(), nil)
	e, closeEgress := seamegress.New(seamegress.Config{Guard: g}, self, grantingOwners{clock, time.Minute}, announced, clock,
		seamsketch.NewUsage(16, time.Minute, time.Minute), metrics.NewSet(), seamevent.NewStream("back"))
	defer closeEgress()
	ask := func() *seamroutewire.AnswerEnd {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			defer far.Close()
			e.ServeStream(t.Context(), seampeer.Peer{}, far)
		}()
		h := head(1)
		h.Length = 20_000
		go func() {
			b, done := seamframe.NewBuffer()
			defer done()
			_ = b.AppendMessage(seamframe.RequestHead, h)
			b.AppendChunks(make([]byte, h.Length))
			_ = b.AppendMessage(seamframe.RequestEnd, &seamroutewire.RequestEnd{})
			_ = b.Flush(near)
		}()
		reader, done := seamframe.NewReader(near)
		defer done()
		for {
			f, err := reader.Next()
			if err != nil {
				t.Fatal(err)
			}
			if end := new(seamroutewire.AnswerEnd); f.Type == seamframe.AnswerEnd && f.Decode(end) == nil {
				return end
			}
		}
	}
	const taken = 8<<20 - 10_000
	g.Reserve(time.Now(), seamguard.Bodies, taken)
	if end := ask(); end.GetOutcome() != string(seamoutcome.Refused) || end.GetReason() != string(seamoutcome.Memory) || runs.Load() != 0 {
		t.Errorf("without memory: %v, %d runs", end, runs.Load())
	}
	g.Release(taken)
	if end := ask(); end.GetOutcome() != string(seamoutcome.Done) || runs.Load() != 1 {
		t.Errorf("with memory: %v, %d runs", end, runs.Load())
	}
}
