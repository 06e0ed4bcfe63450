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

// follow watches a prefix from the first revision in the background. It returns channels for the keys of the
// changes and for the result of the watch.
func follow(ctx context.Context, s seamstore.Store, prefix string) (keys chan string, done chan error) {
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

func expect(ctx context.Context, t *testing.T, keys chan string, want ...string) {
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
	j := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 20*time.Second)
	var all, cells, rules []string
	write := func(i int) {
		for _, prefix := range []string{"seam/own/", "seam/rule/", "other/"} {
			key := fmt.Sprintf("%s%02d", prefix, i)
			create(ctx, t, c, key)
			all = append(all, key)
		}
		cells, rules = append(cells, fmt.Sprintf("seam/own/%02d", i)), append(rules, fmt.Sprintf("seam/rule/%02d", i))
	}
	first, stopFirst := context.WithCancel(ctx)
	own, done := follow(first, j, "seam/own/")
	write(0)
	rule, _ := follow(ctx, j, "seam/rule/")
	other, _ := follow(ctx, j, "other/")
	for i := 1; i < 10; i++ {
		write(i)
	}
	expect(ctx, t, own, cells...)
	expect(ctx, t, rule, rules...)
	expect(ctx, t, other, "other/00", "other/01")
	stopFirst()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("watch that was stopped returned %v", err)
	}
	write(10)
	expect(ctx, t, rule, "seam/rule/10")
	if len(own) > 0 {
		t.Errorf("change %s after the end of the watch", <-own)
	}
	again, _ := follow(ctx, j, "seam/own/")
	expect(ctx, t, again, cells...)
	if len(rule) > 0 {
		t.Errorf("change %s was delivered twice", <-rule)
	}
}

func TestSharedWatchReopensOncePerAddedSubscriber(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	j := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 10*time.Second)
	own, _ := follow(ctx, j, "seam/own/")
	create(ctx, t, c, "seam/own/a")
	expect(ctx, t, own, "seam/own/a")
	stopped, stop := context.WithCancel(ctx)
	rule, done := follow(stopped, j, "seam/rule/")
	create(ctx, t, c, "seam/rule/a")
	expect(ctx, t, rule, "seam/rule/a")
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("watch that was stopped returned %v", err)
	}
	create(ctx, t, c, "seam/own/b")
	expect(ctx, t, own, "seam/own/b")
	if n := s.Counts().Calls[seamstandstore.KindWatch]; n != 2 {
		t.Errorf("%d watches were opened, want 2, one per added subscriber", n)
	}
}

func TestCompactionEndsAllSubscriptions(t *testing.T) {
	s, c := startStore(t, seamstore.Config{})
	j := seamstore.NewSharedWatch(c)
	ctx := contextWithTimeout(t, 10*time.Second)
	create(ctx, t, c, "seam/own/a")
	create(ctx, t, c, "seam/own/b")
	s.Compact()
	_, own := follow(ctx, j, "seam/own/")
	_, rule := follow(ctx, j, "seam/rule/")
	for _, done := range []chan error{own, rule} {
		var compacted *seamstore.CompactedError
		if err := <-done; !errors.As(err, &compacted) {
			t.Errorf("watch returned %v", err)
		}
	}
}
