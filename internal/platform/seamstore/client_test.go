package seamstore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandstore"
)

func startStore(t *testing.T, cfg seamstore.Config) (*seamstandstore.Server, *seamstore.Client) {
	t.Helper()
	s, stop, err := seamstandstore.New(seamstandstore.Config{Address: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cfg.Endpoints = []string{s.Address()}
	c, closeClient, err := seamstore.New(cfg, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeClient)
	return s, c
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// waitNoBlockedCalls waits until the store has dropped the calls that the outage blocks and whose callers have timed
// out. A call that is still blocked when the outage ends would take effect.
func waitNoBlockedCalls(t *testing.T, s *seamstandstore.Server) {
	t.Helper()
	ctx := contextWithTimeout(t, 5*time.Second)
	for s.Counts().Blocked > 0 {
		if ctx.Err() != nil {
			t.Fatal("the store has not dropped all blocked calls")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestSwapComparesRevisions(t *testing.T) {
	_, c := startStore(t, seamstore.Config{})
	ctx := contextWithTimeout(t, 5*time.Second)
	first, err := c.Swap(ctx, seamstore.Takeover, "cell/a", 0, []byte("one"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Swap(ctx, seamstore.Takeover, "cell/a", 0, []byte("two"))
	var conflict *seamstore.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("second swap returned %v, not a conflict", err)
	}
	want := seamstore.Entry{Key: "cell/a", Value: []byte("one"), Revision: first}
	if diff := cmp.Diff(want, conflict.Found); diff != "" {
		t.Error(diff)
	}
	second, err := c.Swap(ctx, seamstore.Takeover, "cell/a", first, []byte("two"))
	if err != nil || second <= first {
		t.Fatalf("swap at revision %d returned %d, %v", first, second, err)
	}
	if err := c.Delete(ctx, seamstore.Takeover, "cell/a", second); err != nil {
		t.Fatal(err)
	}
	e, err := c.Get(ctx, seamstore.Takeover, "cell/a")
	if err != nil || e.Revision != 0 {
		t.Errorf("Get of the deleted key returned %+v, %v", e, err)
	}
}

func TestList(t *testing.T) {
	_, c := startStore(t, seamstore.Config{})
	ctx := contextWithTimeout(t, 5*time.Second)
	for _, k := range []string{"cell/b", "cell/a", "cells", "rule/x"} {
		if _, err := c.Swap(ctx, seamstore.Takeover, k, 0, []byte(k)); err != nil {
			t.Fatal(err)
		}
	}
	entries, revision, err := c.List(ctx, seamstore.Configuration, "cell/")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	if diff := cmp.Diff([]string{"cell/a", "cell/b"}, keys); diff != "" {
		t.Error(diff)
	}
	if revision != 5 {
		t.Errorf("revision is %d, want 5: an empty store has revision 1 and each write increments it", revision)
	}
}

func TestWriteOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		faults  seamstandstore.Faults
		written bool
		unknown bool
	}{
		{"response lost", seamstandstore.Faults{ResponseLoss: 1}, true, true},
		{"call dropped", seamstandstore.Faults{Outage: seamstandstore.OutageDrop}, false, true},
		{"store hangs", seamstandstore.Faults{Outage: seamstandstore.OutageHang}, false, true},
		{"response late", seamstandstore.Faults{DelayMillis: 400}, false, true},
		{"connection refused", seamstandstore.Faults{Outage: seamstandstore.OutageRefuse}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := startStore(t, seamstore.Config{Timeout: 200 * time.Millisecond, Retries: 1})
			if err := s.SetFaults(test.faults); err != nil {
				t.Fatal(err)
			}
			_, err := c.Swap(contextWithTimeout(t, 5*time.Second), seamstore.Takeover, "k", 0, []byte("v"))
			var unknown *seamstore.UnknownError
			var unavailable *seamstore.UnavailableError
			if errors.As(err, &unknown) != test.unknown || errors.As(err, &unavailable) == test.unknown {
				t.Errorf("swap returned %T %v", err, err)
			}
			waitNoBlockedCalls(t, s)
			if err := s.SetFaults(seamstandstore.Faults{}); err != nil {
				t.Fatal(err)
			}
			e, err := c.Get(contextWithTimeout(t, 5*time.Second), seamstore.Takeover, "k")
			if err != nil || (e.Revision != 0) != test.written {
				t.Errorf("Get after the fault returned %+v, %v", e, err)
			}
		})
	}
}

func TestOversizedValueIsNotSent(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	big := []byte(strings.Repeat("x", seamstore.MaxValueBytes+1))
	_, err := c.Swap(contextWithTimeout(t, 5*time.Second), seamstore.Takeover, "k", 0, big)
	var size *seamstore.SizeError
	if !errors.As(err, &size) {
		t.Errorf("swap returned %v", err)
	}
	if n := s.Counts().Calls[seamstandstore.KindTxn]; n != 0 {
		t.Errorf("store received %d writes, want 0", n)
	}
}

func TestBudgetReservesCallsForTakeover(t *testing.T) {
	_, c := startStore(t, seamstore.Config{Rate: 0.001, Burst: 9})
	ctx := contextWithTimeout(t, 5*time.Second)
	allowed := map[seamstore.Priority]int{}
	for _, p := range []seamstore.Priority{seamstore.Keepalive, seamstore.Configuration, seamstore.Takeover} {
		for {
			_, err := c.Get(ctx, p, "k")
			var exhausted *seamstore.BudgetError
			if errors.As(err, &exhausted) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			allowed[p]++
		}
	}
	want := map[seamstore.Priority]int{seamstore.Keepalive: 3, seamstore.Configuration: 3, seamstore.Takeover: 3}
	if diff := cmp.Diff(want, allowed); diff != "" {
		t.Error(diff)
	}
}

// create creates a key. It retries if the connection is lost before the response.
func create(ctx context.Context, t *testing.T, c *seamstore.Client, key string) {
	t.Helper()
	_, err := c.Swap(ctx, seamstore.Takeover, key, 0, nil)
	var unknown *seamstore.UnknownError
	for errors.As(err, &unknown) {
		var found seamstore.Entry
		if found, err = c.Get(ctx, seamstore.Takeover, key); err == nil && found.Revision == 0 {
			_, err = c.Swap(ctx, seamstore.Takeover, key, 0, nil)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestWatchResumesWithoutGap(t *testing.T) {
	s, c := startStore(t, seamstore.Config{Rate: 1000, Burst: 1000})
	if err := s.SetFaults(seamstandstore.Faults{WatchCut: 0.3, Seed: 7}); err != nil {
		t.Fatal(err)
	}
	ctx := contextWithTimeout(t, 20*time.Second)
	const writes = 40
	received := make(chan string, writes)
	go func() {
		_ = c.Watch(ctx, "w/", 0, func(changes []seamstore.Change) {
			for _, x := range changes {
				received <- x.Key
			}
		})
	}()
	for i := range writes {
		key := fmt.Sprintf("w/%02d", i)
		create(ctx, t, c, key)
		if i == writes/2 {
			_ = s.SetFaults(seamstandstore.Faults{Outage: seamstandstore.OutageRefuse})
			_ = s.SetFaults(seamstandstore.Faults{WatchCut: 0.3})
		}
	}
	for i := range writes {
		select {
		case key := <-received:
			if want := fmt.Sprintf("w/%02d", i); key != want {
				t.Fatalf("change %d has the key %s, want %s", i, key, want)
			}
		case <-ctx.Done():
			t.Fatalf("change %d was not received", i)
		}
	}
}

func TestWatchOfCompactedRevision(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	ctx := contextWithTimeout(t, 5*time.Second)
	if _, err := c.Swap(ctx, seamstore.Takeover, "k", 0, nil); err != nil {
		t.Fatal(err)
	}
	s.Compact()
	err := c.Watch(ctx, "k", 0, func([]seamstore.Change) {})
	var compacted *seamstore.CompactedError
	if !errors.As(err, &compacted) {
		t.Errorf("watch returned %v", err)
	}
}
