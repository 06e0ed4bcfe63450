package seammirror_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

// copyHandler builds a copy from the changes that a mirror reports.
type copyHandler struct {
	mu   sync.Mutex
	copy map[string]string
}

func (r *copyHandler) Put(_ time.Time, e seamstore.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copy[e.Key] = string(e.Value)
}

func (r *copyHandler) Delete(_ time.Time, key string, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.copy, key)
}

func (*copyHandler) Synced(time.Time) {}

func (r *copyHandler) all() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.copy)
}

// waitTimeout limits the wait for the expected copy.
const waitTimeout = 10 * time.Second

func (r *copyHandler) expect(t *testing.T, want map[string]string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		d := cmp.Diff(want, r.all())
		if d == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatal(d)
		}
	}
}

// follow runs a mirror and returns its store and the copy of the keys under a/.
func follow(t *testing.T) (*seamstandkv.Store, *copyHandler) {
	t.Helper()
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	r := &copyHandler{copy: map[string]string{}}
	m := seammirror.New(store, "a/", r, seamevent.NewStream("n"))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return store, r
}

func remove(t *testing.T, store *seamstandkv.Store, key string) {
	t.Helper()
	e, err := store.Get(context.Background(), seamstore.Takeover, key)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Delete(context.Background(), seamstore.Takeover, key, e.Revision); err != nil {
		t.Fatal(err)
	}
}

func TestMirrorFollowsChanges(t *testing.T) {
	store, r := follow(t)
	store.Put("a/1", []byte("x"))
	store.Put("b/1", []byte("other"))
	r.expect(t, map[string]string{"a/1": "x"})
	store.Put("a/1", []byte("y"))
	store.Put("a/2", []byte("z"))
	r.expect(t, map[string]string{"a/1": "y", "a/2": "z"})
	remove(t, store, "a/1")
	r.expect(t, map[string]string{"a/2": "z"})
}

func TestMirrorRelistsAfterCompaction(t *testing.T) {
	store, r := follow(t)
	store.Put("a/1", []byte("x"))
	store.Put("a/2", []byte("x"))
	r.expect(t, map[string]string{"a/1": "x", "a/2": "x"})
	store.SetFaults(seamstandkv.Faults{SuppressWatches: true})
	store.Put("a/1", []byte("y"))
	remove(t, store, "a/2")
	store.Compact()
	store.SetFaults(seamstandkv.Faults{})
	r.expect(t, map[string]string{"a/1": "y"})
}

func TestMirrorListsOnceStoreIsReachable(t *testing.T) {
	store, r := follow(t)
	store.SetFaults(seamstandkv.Faults{Down: true})
	store.Put("a/1", []byte("x"))
	store.SetFaults(seamstandkv.Faults{})
	r.expect(t, map[string]string{"a/1": "x"})
}
