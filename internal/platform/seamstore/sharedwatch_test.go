package seamstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandstore"
)

// watchInBackground watches a prefix from revision 0. It returns channels that receive the keys of the changes and the
// result of the watch.
func watchInBackground(ctx context.Context, s seamstore.Store, prefix string) (keys chan string, done chan error) {
	keys, done = make(chan string, 256), make(chan error, 1)
	go func() {
		done <- s.Watch(ctx, prefix, 0, func(changes []seamstore.Change) {
			for _, x := range changes {
				keys <- x.Key
			}
		})
	}()
	return keys, done
}

// expectKeys fails the test unless the next keys are want, in this order.
func expectKeys(ctx context.Context, t *testing.T, keys chan string, want ...string) {
	t.Helper()
	var got []string
	for range want {
		select {
		case key := <-keys:
			got = append(got, key)
		case <-ctx.Done():
			t.Fatalf("got only %v of %v", got, want)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestSharedWatchServesEachSubscriber(t *testing.T) {
	s, c := startStore(t, seamstore.Config{Rate: 1000, Burst: 1000})
	if err := s.SetFaults(seamstandstore.Faults{WatchCut: 0.2, Seed: 3}); err != nil {
		t.Fatal(err)
	}
	shared := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 20*time.Second)
	var all, ownKeys, ruleKeys []string
	write := func(i int) {
		for _, prefix := range []string{"seam/own/", "seam/rule/", "other/"} {
			key := fmt.Sprintf("%s%02d", prefix, i)
			create(ctx, t, c, key)
			all = append(all, key)
		}
		ownKeys, ruleKeys = append(ownKeys, fmt.Sprintf("seam/own/%02d", i)), append(ruleKeys, fmt.Sprintf("seam/rule/%02d", i))
	}
	ownCtx, stopOwn := context.WithCancel(ctx)
	own, done := watchInBackground(ownCtx, shared, "seam/own/")
	write(0)
	rule, _ := watchInBackground(ctx, shared, "seam/rule/")
	other, _ := watchInBackground(ctx, shared, "other/")
	for i := 1; i < 10; i++ {
		write(i)
	}
	expectKeys(ctx, t, own, ownKeys...)
	expectKeys(ctx, t, rule, ruleKeys...)
	expectKeys(ctx, t, other, "other/00", "other/01")
	stopOwn()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("watch that was stopped returned %v", err)
	}
	write(10)
	expectKeys(ctx, t, rule, "seam/rule/10")
	if len(own) > 0 {
		t.Errorf("change %s after the end of the watch", <-own)
	}
	again, _ := watchInBackground(ctx, shared, "seam/own/")
	expectKeys(ctx, t, again, ownKeys...)
	if len(rule) > 0 {
		t.Errorf("change %s was delivered twice", <-rule)
	}
}

// A shared watch must not reopen the store's watch when a subscriber is removed.
func TestSharedWatchReopensOncePerAddedSubscriber(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	shared := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 10*time.Second)
	own, _ := watchInBackground(ctx, shared, "seam/own/")
	create(ctx, t, c, "seam/own/a")
	expectKeys(ctx, t, own, "seam/own/a")
	stopped, stop := context.WithCancel(ctx)
	rule, done := watchInBackground(stopped, shared, "seam/rule/")
	create(ctx, t, c, "seam/rule/a")
	expectKeys(ctx, t, rule, "seam/rule/a")
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("watch that was stopped returned %v", err)
	}
	create(ctx, t, c, "seam/own/b")
	expectKeys(ctx, t, own, "seam/own/b")
	if n := s.Counts().Calls[seamstandstore.KindWatch]; n != 2 {
		t.Errorf("%d watches of the store were opened, want 2: one for each added subscriber, none for the removed one", n)
	}
}

func TestCompactionEndsAllSubscriptions(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	shared := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 10*time.Second)
	create(ctx, t, c, "seam/own/a")
	create(ctx, t, c, "seam/own/b")
	s.Compact()
	_, own := watchInBackground(ctx, shared, "seam/own/")
	_, rule := watchInBackground(ctx, shared, "seam/rule/")
	for _, done := range []chan error{own, rule} {
		var compacted *seamstore.CompactedError
		if err := <-done; !errors.As(err, &compacted) {
			t.Errorf("watch returned %v", err)
		}
	}
}
