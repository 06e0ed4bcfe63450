package seammembership_test

import (
	"context"
	"testing"
	"time"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

// TestEntryIsWrittenAgainWhenTheStoreComesBackWithAnOlderOne guards against members that keep an older state of a target, since the
// lease of its node is in the copy.
func TestEntryIsWrittenAgainWhenTheStoreComesBackWithAnOlderOne(t *testing.T) {
	store, stop := seamstandkv.New()
	defer stop()
	r := seammembership.NewRegistration(store, seammembership.Member{
		Peer: seampeer.Peer{Name: "n0", Incarnation: 1, Address: "127.0.0.1:1"}, Target: seammembership.Target{Service: "calendar", ID: "t0", Started: 1},
	}, seamevent.NewStream("n0"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	awaitTarget(t, store, "t0")
	copied := store.Copy()
	r.Update(func(m *seammembership.Member) { m.Target.ID = "t1" })
	awaitTarget(t, store, "t1")
	store.Restore(copied)
	awaitTarget(t, store, "t1")
}

// awaitTarget waits until the entry of node n0 names the target.
func awaitTarget(t *testing.T, store *seamstandkv.Store, id string) {
	t.Helper()
	const timeout = 4 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		e, err := store.Get(t.Context(), seamstore.Configuration, seammembership.KeyPrefix+"n0")
		if err != nil || e.Revision == 0 {
			continue
		}
		members := seammembership.New("n1", seamevent.NewStream("n1"))
		members.Put(time.Now(), e)
		if m, ok := members.Member("n0"); ok && m.Target.ID == id {
			return
		}
	}
	t.Fatalf("the entry does not name target %s after %v", id, timeout)
}
