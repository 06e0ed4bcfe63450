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

// reader keeps the copy that a mirror hands over.
type reader struct {
	mu   sync.Mutex
	copy map[string]string
}

func (r *reader) Put(_ time.Time, e seamstore.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copy[e.Key] = string(e.Value)
}

func (r *reader) Delete(_ time.Time, key string, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.copy, key)
}

func (*reader) Synced(time.Time) {}

func (r *reader) all() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.copy)
}

// patience bounds the wait for a copy to be right.
const patience = 10 * time.Second

func (r *reader) expect(t *testing.T, want map[string]string) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		d := cmp.Diff(want, r.all())
		if d == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatal(d)
		}
	}
}

// follow returns a store and the copy of its keys below a/.
func follow(t *testing.T) (*seamstandkv.Store, *reader) {
	t.Helper()
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	r := &reader{copy: map[string]string{}}
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
