package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// connect connects to a listener that may not be open yet.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	for range 200 {
		if c, err := net.Dial("tcp", address); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("nothing listens on %s", address)
	return nil
}

func TestReloadedStopLimitBoundsTheStop(t *testing.T) {
	const limit = 600 * time.Millisecond
	file := filepath.Join(t.TempDir(), "settings.yaml")
	ingress := freeAddress(t)
	settings := fmt.Sprintf("name: n\nregion: ost\ndomain: ost-1\nlisten: %s\ningress: %s\nannounce: %s\nhealth: %s\nmetrics: %s\nstore: [%q]\n",
		freeAddress(t), ingress, freeAddress(t), freeAddress(t), freeAddress(t), "127.0.0.1:1")
	write := func(limit time.Duration) {
		if err := os.WriteFile(file, fmt.Appendf(nil, "%sstop: {notice: 0s, limit: %v}\n", settings, limit), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(3 * time.Second)
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- serveCommand().Run(ctx, []string{"serve", "--settings", file}) }()
	// The rest of this request does not come, so that the stop lasts until its limit.
	fmt.Fprint(connect(t, ingress), "GET / HTTP/1.1\r\n")
	time.Sleep(100 * time.Millisecond)
	write(limit)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	stop()
	if err := <-stopped; err != nil {
		t.Logf("the stop ended with: %v", err) // the unfinished request may count as one in flight
	}
	if took := time.Since(start); took > limit+time.Second {
		t.Errorf("the stop took %v after a reload of stop.limit: %v: a process that is killed then cuts the requests that run, and their callers get nothing", took.Round(time.Millisecond), limit)
	}
}
