package seammembership_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

var start = time.Unix(1000, 0)

func member(name string, incarnation uint64) seammembership.Member {
	return seammembership.Member{
		Peer:   seampeer.Peer{Name: name, Incarnation: incarnation, Address: "10.0.0.1:7000", Region: "ost", Domain: "ost-1"},
		Target: seammembership.Target{Service: "booker", ID: "t-" + name, Started: 1000, Address: "10.0.0.1:80", Slots: 9},
	}
}

func entry(t *testing.T, m seammembership.Member) seamstore.Entry {
	t.Helper()
	value, err := proto.Marshal(seammembership.MemberToWire(m))
	if err != nil {
		t.Fatal(err)
	}
	return seamstore.Entry{Key: seammembership.KeyPrefix + m.Peer.Name, Value: value, Revision: 1}
}

func noneAlive(seampeer.Peer) bool { return false }

func TestMembersAreListedByService(t *testing.T) {
	list := seammembership.New("self", seamevent.NewStream("self"))
	want := member("n1", 1)
	list.Put(start, entry(t, want))
	got := list.View().Services()["booker"]
	if len(got) != 1 || got[0] != want {
		t.Errorf("members of the service: %+v, want only n1", got)
	}
	if m, ok := list.View().ByHolder(want.Target.Holder()); !ok || m != want {
		t.Errorf("member of the holder: %+v, %t, want n1", m, ok)
	}
}

func TestExpiredMemberStaysForGracePeriod(t *testing.T) {
	list := seammembership.New("self", seamevent.NewStream("self"))
	list.Put(start, entry(t, member("n1", 1)))
	list.Delete(start, seammembership.KeyPrefix+"n1", false)
	list.RemoveExpired(start.Add(seammembership.GracePeriod/2), noneAlive)
	if len(list.View().Members) != 1 {
		t.Error("removed before the end of the grace period")
	}
	list.RemoveExpired(start.Add(seammembership.GracePeriod), func(seampeer.Peer) bool { return true })
	if len(list.View().Members) != 1 {
		t.Error("removed although it is alive")
	}
	list.RemoveExpired(start.Add(seammembership.GracePeriod), noneAlive)
	if len(list.View().Members) != 0 {
		t.Error("still listed after the grace period")
	}
}

func TestMemberStaysWhenItsEntryReturns(t *testing.T) {
	list := seammembership.New("self", seamevent.NewStream("self"))
	list.Put(start, entry(t, member("n1", 1)))
	list.Delete(start, seammembership.KeyPrefix+"n1", false)
	list.Put(start.Add(time.Second), entry(t, member("n1", 1)))
	list.RemoveExpired(start.Add(time.Minute), noneAlive)
	if len(list.View().Members) != 1 {
		t.Error("removed although its entry has returned")
	}
}

func TestEarlierIncarnationDoesNotReplaceLaterOne(t *testing.T) {
	list := seammembership.New("self", seamevent.NewStream("self"))
	list.Put(start, entry(t, member("n1", 5)))
	list.Put(start, entry(t, member("n1", 4)))
	if got := list.View().Members["n1"].Peer.Incarnation; got != 5 {
		t.Errorf("incarnation %d is listed, want 5", got)
	}
}

func TestMalformedEntriesAddNoMember(t *testing.T) {
	nameless, addressless, other := member("", 1), member("n2", 1), member("n3", 1)
	addressless.Peer.Address = ""
	mismatched := entry(t, other)
	mismatched.Key = seammembership.KeyPrefix + "n4"
	for name, e := range map[string]seamstore.Entry{
		"malformed bytes": {Key: seammembership.KeyPrefix + "n1", Value: []byte{0xff, 0xff}},
		"no name":         entry(t, nameless),
		"no address":      entry(t, addressless),
		"another key":     mismatched,
	} {
		s := seamevent.NewStream("self")
		list := seammembership.New("self", s)
		list.Put(start, entry(t, member("n0", 1)))
		list.Put(start, e)
		if n := len(list.View().Members); n != 1 {
			t.Errorf("%s: %d members, want 1", name, n)
		}
		if events := s.Recent(); events[len(events)-1].Name != seamevent.RegistrationRefused {
			t.Errorf("%s: the last event is %s, want the registration to be refused", name, events[len(events)-1].Name)
		}
	}
}

// waitTimeout is the time after which a test stops waiting for an entry.
const waitTimeout = 20 * time.Second

// await waits until the entry of node n1 is in the store and satisfies ok.
func await(t *testing.T, store *seamstandkv.Store, ok func(seamstore.Entry) bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if e, err := store.Get(context.Background(), seamstore.Takeover, seammembership.KeyPrefix+"n1"); err == nil && ok(e) {
			return
		}
	}
	t.Fatal("timed out waiting for the entry")
}

// The node also writes an update again if the store's response to it was lost.
func TestEntryIsRestoredAfterLeaseRevocation(t *testing.T) {
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	e := seammembership.NewRegistration(store, member("n1", 1), seamevent.NewStream("n1"))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	written := func(e seamstore.Entry) bool { return e.Revision > 0 }
	await(t, store, written)
	store.RevokeAll()
	await(t, store, written)
	// The store applies the update, but its response is lost, so that the node has to write it again.
	store.SetFaults(seamstandkv.Faults{LoseResponses: true})
	e.Update(func(m *seammembership.Member) { m.Target.Leaving = true })
	time.Sleep(10 * time.Millisecond)
	store.SetFaults(seamstandkv.Faults{})
	list := seammembership.New("self", seamevent.NewStream("self"))
	await(t, store, func(found seamstore.Entry) bool {
		list.Put(start, found)
		return list.View().Members["n1"].Target.Leaving
	})
}
