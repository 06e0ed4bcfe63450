package seamrulestore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
	"cardamomseam/internal/rule/seamrulestore"
	"cardamomseam/internal/rule/seamstoretest"
	"cardamomseam/internal/stand/seamstandstore"
)

var now = time.Unix(1_700_000_000, 0).UTC()

type fixture struct {
	store *seamstoretest.MemoryStore
	set   *seamruleset.Set
	rules *seamrulestore.Store
}

func newFixture() fixture {
	m, sink, store := metrics.NewSet(), seamevent.NewStream("n1"), &seamstoretest.MemoryStore{}
	set := seamruleset.New(sink, m)
	return fixture{store: store, set: set, rules: seamrulestore.New(store, set, sink, m)}
}

func changeBy(author string, expect int64) seamrulestore.ChangeInfo {
	return seamrulestore.ChangeInfo{Time: now, Author: author, Expect: expect}
}

func tally(retries int) seamrule.Document {
	return seamrule.Document{
		Service:   "tally",
		Selectors: []seamrule.Selector{{Name: "all"}},
		Limits:    seamrule.Limits{Retries: retries},
	}
}

func TestPutConflictContainsDiff(t *testing.T) {
	f := newFixture()
	first, err := f.rules.Put(t.Context(), changeBy("blue", 0), tally(1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.rules.Put(t.Context(), changeBy("red", 0), tally(2))
	var conflict *seamrulestore.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	if conflict.Found != first.Revision || conflict.Expect != 0 || conflict.Author != "blue" {
		t.Errorf("got %+v", conflict)
	}
	if !strings.Contains(conflict.Diff, "-  retries: 1\n+  retries: 2\n") {
		t.Errorf("difference:\n%s", conflict.Diff)
	}
}

func TestDeleteKeepsImmutableFields(t *testing.T) {
	f := newFixture()
	keyed := tally(0)
	keyed.Keyed = &seamrule.Keyed{KeySource: "path:1", Slots: 8}
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 0), keyed); err != nil {
		t.Fatal(err)
	}
	if _, err := f.rules.Delete(t.Context(), changeBy("blue", seamrulestore.AnyRevision), "tally"); err != nil {
		t.Fatal(err)
	}
	var missing *seamrulestore.NotFoundError
	if _, err := f.rules.Delete(t.Context(), changeBy("blue", seamrulestore.AnyRevision), "tally"); !errors.As(err, &missing) {
		t.Fatalf("second deletion: %v", err)
	}
	other := keyed
	other.Keyed = &seamrule.Keyed{KeySource: "path:1", Slots: 9}
	var invalid seamrule.FieldErrors
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 0), other); !errors.As(err, &invalid) || invalid[0].Field != "keyed.slots" {
		t.Fatalf("other slots: %v", err)
	}
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 0), keyed); err != nil {
		t.Fatalf("same slots: %v", err)
	}
	record, err := f.rules.Read(t.Context(), "tally")
	if err != nil || len(record.Changes) != 3 || record.Changes[1].Action != seamrulestore.ActionDelete {
		t.Fatalf("record %+v, %v", record, err)
	}
}

func TestPutWithLostResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults []seamstoretest.WriteFault
	}{
		{"response lost", []seamstoretest.WriteFault{seamstoretest.ResponseLost}},
		{"request lost", []seamstoretest.WriteFault{seamstoretest.RequestLost}},
		{"both", []seamstoretest.WriteFault{seamstoretest.RequestLost, seamstoretest.ResponseLost, seamstoretest.RequestLost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			calls := 0
			f.store.InjectFault = func() seamstoretest.WriteFault {
				calls++
				if calls <= len(tt.faults) {
					return tt.faults[calls-1]
				}
				return seamstoretest.NoFault
			}
			done, err := f.rules.Put(t.Context(), changeBy("blue", 0), tally(1))
			if err != nil || done.Revision != f.store.Revision() {
				t.Fatalf("recorded %+v, %v", done, err)
			}
			record, err := f.rules.Read(t.Context(), "tally")
			if err != nil || len(record.Changes) != 1 {
				t.Fatalf("record %+v, %v", record, err)
			}
		})
	}
}

func TestRepeatedWriterHasNoEffect(t *testing.T) {
	f := newFixture()
	info := changeBy("blue", 0)
	info.Writer = "w-1"
	first, err := f.rules.Put(t.Context(), info, tally(1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.rules.Put(t.Context(), changeBy("red", first.Revision), tally(2)); err != nil {
		t.Fatal(err)
	}
	again, err := f.rules.Put(t.Context(), info, tally(1))
	if err != nil || again != first {
		t.Fatalf("got %+v, %v; want %+v", again, err, first)
	}
}

func TestPutDuringOutageRecordsNothing(t *testing.T) {
	f := newFixture()
	f.store.SetDown(true)
	var unavailable *seamrulestore.UnavailableError
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 0), tally(1)); !errors.As(err, &unavailable) || unavailable.RetryAfter <= 0 {
		t.Fatalf("got %v", err)
	}
	f.store.SetDown(false)
	f.store.InjectFault = func() seamstoretest.WriteFault { return seamstoretest.RequestLost }
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unknown *seamrulestore.UnknownError
	if _, err := f.rules.Put(ctx, changeBy("blue", 0), tally(1)); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	if f.store.Revision() != 0 {
		t.Fatal("a change was recorded")
	}
}

// budgetedStore is a store whose call budget is exhausted for some writes.
type budgetedStore struct {
	seamstore.Store
	refusals int
}

func (b *budgetedStore) Swap(ctx context.Context, p seamstore.Priority, key string, expect int64, value []byte) (int64, error) {
	if b.refusals--; b.refusals >= 0 {
		return 0, &seamstore.BudgetError{Key: key, RetryAfter: time.Millisecond}
	}
	return b.Store.Swap(ctx, p, key, expect, value)
}

func TestPutWaitsForCallBudget(t *testing.T) {
	f := newFixture()
	store := &budgetedStore{Store: f.store, refusals: 3}
	rules := seamrulestore.New(store, f.set, seamevent.NewStream("n1"), metrics.NewSet())
	if _, err := rules.Put(t.Context(), changeBy("blue", 0), tally(1)); err != nil {
		t.Fatal(err)
	}
	store.refusals = 1000
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unavailable *seamrulestore.UnavailableError
	if _, err := rules.Put(ctx, changeBy("blue", seamrulestore.AnyRevision), tally(2)); !errors.As(err, &unavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestPutRejectsStaleStore(t *testing.T) {
	f := newFixture()
	v := seamrule.Version{Service: "tally", Revision: 40, Document: tally(1)}
	if _, err := f.set.ApplyVersions(now, []seamrule.Version{v}); err != nil {
		t.Fatal(err)
	}
	var stale *seamrulestore.StaleError
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 40), tally(1)); !errors.As(err, &stale) || stale.Active != 40 {
		t.Fatalf("store behind the set: %v", err)
	}
	other := tally(1)
	other.Service = "tally2"
	if _, err := f.rules.Put(t.Context(), changeBy("blue", 0), other); !errors.As(err, &stale) {
		t.Fatalf("another service: %v", err)
	}
	for f.store.Revision() < 40 {
		if _, err := f.store.Swap(t.Context(), 0, "cell/a", f.store.Revision(), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := f.rules.Put(t.Context(), changeBy("blue", seamrulestore.AnyRevision), tally(1)); !errors.As(err, &stale) {
		t.Fatalf("lost version: %v", err)
	}
	done, err := f.rules.Put(t.Context(), changeBy("blue", 40), tally(1))
	if err != nil || done.Revision <= 40 {
		t.Fatalf("in place of the lost version: %+v, %v", done, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	f := newFixture()
	for i := range 60 {
		if _, err := f.rules.Put(t.Context(), changeBy("blue", seamrulestore.AnyRevision), tally(i%10)); err != nil {
			t.Fatal(err)
		}
	}
	record, err := f.rules.Read(t.Context(), "tally")
	if err != nil || len(record.Changes) != 60 {
		t.Fatalf("%d changes, %v", len(record.Changes), err)
	}
	texts := 0
	for i, c := range record.Changes {
		if c.Number != i+1 || c.Revision != int64(i+1) {
			t.Errorf("change %d is %+v", i, c)
		}
		if c.Text != "" {
			texts++
		}
	}
	if texts != 50 {
		t.Errorf("%d texts, want 50", texts)
	}
}

// TestConcurrentChanges changes one document concurrently while requests and responses are lost and the
// store has outages. Each change must be recorded exactly once.
func TestConcurrentChanges(t *testing.T) {
	store := &seamstoretest.MemoryStore{}
	draw := rand.New(rand.NewPCG(1, 2))
	store.InjectFault = func() seamstoretest.WriteFault { return seamstoretest.WriteFault(draw.IntN(6) % 4 % 3) }
	runRace(t, store, func(down bool) { store.SetDown(down) })
}

// TestConcurrentChangesOverTheWire runs TestConcurrentChanges with the store's client and the store
// simulator.
func TestConcurrentChangesOverTheWire(t *testing.T) {
	logx.Disable()
	server, stop, err := seamstandstore.New(seamstandstore.Config{Address: "127.0.0.1:0", Seed: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	config := seamstore.Config{Endpoints: []string{server.Address()}, Timeout: 50 * time.Millisecond, Rate: 1000, Burst: 1000}
	client, closeClient, err := seamstore.New(config, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	defer closeClient()
	runRace(t, client, func(down bool) {
		faults := seamstandstore.Faults{ResponseLoss: 0.2, WatchCut: 0.2}
		if down {
			faults.Outage = seamstandstore.OutageDrop
		}
		if err := server.SetFaults(faults); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Millisecond)
	})
}

// runRace runs concurrent operators; fault starts and ends outages.
func runRace(t *testing.T, store seamstore.Store, fault func(down bool)) {
	const operators, changes = 8, 5
	m, sink := metrics.NewSet(), seamevent.NewStream("n1")
	set := seamruleset.New(sink, m)
	rules := seamrulestore.New(store, set, sink, m)
	ctx, cancel := context.WithCancel(t.Context())
	var watch, group sync.WaitGroup
	watch.Go(func() { _ = set.Watch(ctx, store) })
	watch.Go(func() {
		for down := false; ctx.Err() == nil; down = !down {
			fault(down)
			time.Sleep(time.Millisecond)
		}
		fault(false)
	})
	// The first bundle may come from an empty store, which is at revision 0.
	highest := int64(-1)
	set.Subscribe(now, func(_ time.Time, b seamruleset.Bundle) {
		if b.Revision <= highest {
			t.Errorf("revision %d after %d", b.Revision, highest)
		}
		highest = b.Revision
	})
	var mu sync.Mutex
	accepted := map[string]int64{}
	for o := range operators {
		group.Go(func() {
			for c := range changes {
				writer := fmt.Sprintf("%d/%d", o, c)
				revision := putUntilRecorded(t, rules, writer)
				mu.Lock()
				accepted[writer] = revision
				mu.Unlock()
			}
		})
	}
	group.Wait()
	cancel()
	watch.Wait()
	record := readRecord(t, rules)
	if len(record.Changes) != operators*changes {
		t.Fatalf("%d changes in the history, want %d", len(record.Changes), operators*changes)
	}
	for _, c := range record.Changes {
		if accepted[c.Writer] != c.Revision {
			t.Errorf("writer %s: revision %d in the history, %d accepted", c.Writer, c.Revision, accepted[c.Writer])
		}
		delete(accepted, c.Writer)
	}
	if len(accepted) != 0 {
		t.Errorf("not in the history: %v", accepted)
	}
}

// readRecord reads the record and retries if a response is lost.
func readRecord(t *testing.T, rules *seamrulestore.Store) seamrulestore.ServiceRecord {
	var err error
	for range 20 {
		var record seamrulestore.ServiceRecord
		if record, err = rules.Read(t.Context(), "tally"); err == nil {
			return record
		}
	}
	t.Fatal(err)
	return seamrulestore.ServiceRecord{}
}

// putUntilRecorded retries a change with the same writer until it is recorded.
func putUntilRecorded(t *testing.T, rules *seamrulestore.Store, writer string) int64 {
	for range 100_000 {
		info := seamrulestore.ChangeInfo{Time: now, Author: "blue", Writer: writer, Expect: seamrulestore.AnyRevision}
		done, err := rules.Put(t.Context(), info, tally(0))
		if err == nil {
			return done.Revision
		}
		var invalid seamrule.FieldErrors
		if errors.As(err, &invalid) {
			t.Error(err)
			return 0
		}
		time.Sleep(200 * time.Microsecond)
	}
	t.Errorf("writer %s never succeeded", writer)
	return 0
}
