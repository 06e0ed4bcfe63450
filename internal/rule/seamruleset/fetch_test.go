package seamruleset_test

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
	"cardamomseam/internal/rule/seamrulestore"
	"cardamomseam/internal/rule/seamrulewire"
	"cardamomseam/internal/rule/seamstoretest"
)

// fetch makes one set fetch the rules of another over an in-memory connection.
func fetch(t *testing.T, from, to *seamruleset.Set) error {
	t.Helper()
	server, client := net.Pipe()
	defer client.Close()
	served := make(chan error, 1)
	go func() {
		served <- from.ServeStream(t.Context(), seampeer.Peer{}, server)
		server.Close()
	}()
	err := to.Fetch(t.Context(), client, to.Revision())
	if e := <-served; e != nil {
		t.Fatal(e)
	}
	return err
}

func TestFetch(t *testing.T) {
	coordinator, member := newSet(), newSet()
	var notReady *seamruleset.PeerNotReadyError
	if err := fetch(t, coordinator, member); !errors.As(err, &notReady) || member.Ready() {
		t.Fatalf("from a peer without rules: %v", err)
	}
	deleted := version(seamrule.Document{Service: "tally", Selectors: []seamrule.Selector{{Name: "all"}}}, 5)
	deleted.Deleted = true
	apply(t, coordinator, version(calendar(), 7), deleted)
	if err := fetch(t, coordinator, member); err != nil {
		t.Fatal(err)
	}
	if v, ok := member.Version("tally"); !ok || !v.Deleted || member.Revision() != 7 || !member.Ready() {
		t.Fatalf("member at revision %d, tally %+v", member.Revision(), v)
	}
	lagging := newSet()
	apply(t, lagging, version(calendar(), 3))
	if err := fetch(t, lagging, member); err != nil || member.Revision() != 7 {
		t.Fatalf("after a lagging peer: revision %d, %v", member.Revision(), err)
	}
}

func TestServeStreamSendsOnlyNewerVersions(t *testing.T) {
	s := newSet()
	tally := seamrule.Document{Service: "tally", Selectors: []seamrule.Selector{{Name: "all"}}}
	apply(t, s, version(calendar(), 7), version(tally, 9))
	for since, want := range map[int64]int{-1: 2, 7: 1, 9: 0} {
		server, client := net.Pipe()
		go func() {
			_ = s.ServeStream(t.Context(), seampeer.Peer{}, server)
			server.Close()
		}()
		if _, err := protodelim.MarshalTo(client, &seamrulewire.Fetch{Since: since}); err != nil {
			t.Fatal(err)
		}
		var b seamrulewire.Bundle
		if err := protodelim.UnmarshalFrom(bufio.NewReader(client), &b); err != nil {
			t.Fatal(err)
		}
		client.Close()
		if len(b.GetDocuments()) != want || b.GetRevision() != 9 {
			t.Errorf("since %d: %d documents at revision %d, want %d", since, len(b.GetDocuments()), b.GetRevision(), want)
		}
	}
}

func TestFetchOfEmptyRulesMakesReady(t *testing.T) {
	coordinator, member := newSet(), newSet()
	apply(t, coordinator)
	if err := fetch(t, coordinator, member); err != nil || !member.Ready() {
		t.Fatalf("ready %t, %v", member.Ready(), err)
	}
}

func TestFetchStopsWhenContextEnds(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := newSet().Fetch(ctx, client, 0); err == nil {
		t.Fatal("no error")
	}
}

func TestWatchDuringStoreOutage(t *testing.T) {
	store := &seamstoretest.MemoryStore{}
	m, sink := metrics.NewSet(), seamevent.NewStream("n1")
	set := seamruleset.New(sink, m)
	rules := seamrulestore.New(store, set, sink, m)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	store.SetDown(true)
	group.Go(func() { _ = set.Watch(ctx, store) })
	defer group.Wait()
	defer cancel()
	time.Sleep(20 * time.Millisecond)
	if set.Ready() {
		t.Fatal("ready before the store was read")
	}
	store.SetDown(false)
	for change := range 3 {
		info := seamrulestore.ChangeInfo{Time: now, Author: "blue", Expect: seamrulestore.AnyRevision}
		done, err := rules.Put(t.Context(), info, calendar())
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); set.Revision() < done.Revision; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("change %d is not active", change)
			}
		}
		store.SetDown(true)
		if set.Revision() != done.Revision {
			t.Fatalf("revision %d during the outage", set.Revision())
		}
		store.SetDown(false)
	}
	if err := store.Delete(t.Context(), 0, "seam/rule/calendar", set.Revision()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if v, ok := set.Version("calendar"); !ok || v.Deleted {
		t.Fatal("the removal of a store key deleted a service")
	}
}
