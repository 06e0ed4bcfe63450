package seamegress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamoutcome"
)

// TestCancelledRequestResetsConnection cancels a request before the target has accepted the connection.
// If the connection were closed without a reset, the target could still run the request afterwards.
func TestCancelledRequestResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clock := seamclock.NewClock()
	target := announcedTarget{Service: "booker", Name: "t", Address: l.Addr().String(), MaxConcurrency: 4, Connections: 4}
	e, closeEgress := seamegress.New(seamegress.Config{}, self, grantingOwners{clock, time.Minute}, target, clock,
		seamsketch.NewUsage(16, time.Minute, time.Minute), metrics.NewSet(), seamevent.NewStream("back"))
	defer closeEgress()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	end := e.Run(ctx, request(1, http.MethodGet), http.NoBody, &discard{http.Header{}})
	if end.Outcome == seamoutcome.Done {
		t.Fatalf("the request ended with %+v before it was accepted", end)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection of a canceled request ended with %v, want a reset", err)
	}
}
