package seamelection_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seammirror"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	service = "calendar"
	// patience bounds the wait for what a test expects to happen.
	patience = 20 * time.Second
)

// peers is the same for all nodes: each knows all others, in the order of their names.
type peers struct {
	rank int
	// told takes the assigners that resign without the store; nil ignores them.
	told chan seamelection.Resignation
}

// TellResigned implements seamelection.Peers.
func (p peers) AnnounceResignation(f seamelection.Resignation) {
	if p.told != nil {
		p.told <- f
	}
}

func (p peers) Rank(string) (int, bool)                   { return p.rank, true }
func (n *node) record() (seamelection.LeaderRecord, bool) { return n.registry.Leader(service) }

// node is one node that stands for the assigner.
type node struct {
	self     seampeer.Peer
	registry *seamelection.Registry
	office   *seamelection.Elector
	told     chan seamelection.Resignation
	stop     func()
}

// reader hands the store's keys to a registry.
type reader struct {
	*seamelection.Registry
}

// newNode starts a node of the store.
func newNode(t *testing.T, store *seamstandkv.Store, name string, incarnation uint64, rank int) *node {
	t.Helper()
	sink := seamevent.NewStream(name)
	n := &node{self: seampeer.Peer{Name: name, Incarnation: incarnation, Address: "127.0.0.1:1"}, registry: seamelection.NewRegistry(sink), told: make(chan seamelection.Resignation, 8)}
	n.office = seamelection.New(service, n.self, store, n.registry, seamclock.NewClock(), peers{rank, n.told}, sink)
	mirror := seammirror.New(store, "", reader{n.registry}, sink)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { mirror.Run(ctx) })
	running.Go(func() { n.office.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

func newStore(t *testing.T) *seamstandkv.Store {
	t.Helper()
	store, stop := seamstandkv.New()
	t.Cleanup(stop)
	return store
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not happen", what)
}

func heldBy(n *node, name string) func() bool {
	return func() bool {
		r, ok := n.record()
		return ok && r.Peer.Name == name
	}
}

func TestOneOfManyHoldsTheOffice(t *testing.T) {
	store := newStore(t)
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, newNode(t, store, fmt.Sprint("n", i), 1, i))
	}
	for _, n := range nodes {
		await(t, "the election", heldBy(n, "n0"))
	}
}

func TestOfficeGoesOnWhenItsHolderResigns(t *testing.T) {
	store := newStore(t)
	first := newNode(t, store, "n0", 1, 0)
	await(t, "the election", heldBy(first, "n0"))
	second := newNode(t, store, "n1", 1, 1)
	await(t, "the first table", func() bool { _, ok := second.registry.Table(service); return ok })
	first.office.Withdraw()
	await(t, "the succession", heldBy(second, "n1"))
	record, _ := second.record()
	await(t, "the epoch of the successor", func() bool { table, _ := second.registry.Table(service); return table.Epoch == record.Epoch })
}

func TestAssignerThatLeavesGoesOnWhileTheStoreIsAway(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the election", heldBy(n, "n0"))
	await(t, "the first table", func() bool { table, _ := n.registry.Table(service); return table.Epoch != 0 })
	store.Fail(seamstandkv.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond) // longer than the record's lease
	n.office.Withdraw()
	select {
	case a := <-n.told:
		t.Fatalf("%+v resigned although nobody can succeed it", a)
	case <-time.After(500 * time.Millisecond):
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	n.office.Stop(ctx)
	table, _ := n.registry.Table(service)
	if a := (<-n.told).Assigner; a.Name != "n0" || a.Incarnation != 1 || a.Epoch != table.Epoch {
		t.Errorf("%+v resigned in epoch %d", a, table.Epoch)
	}
}

func TestAssignerThatLeavesTellsTheStoreThatItPromisesNothing(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the first table", func() bool { table, _ := n.registry.Table(service); return table.Epoch != 0 })
	n.office.Withdraw()
	await(t, "the last table", func() bool { table, _ := n.registry.Table(service); return len(table.Assigners) == 0 })
	if len(n.told) > 0 {
		t.Errorf("%+v told others too", <-n.told)
	}
}

func TestSuccessorDoesNotWaitForAnAssignerThatHasResigned(t *testing.T) {
	former := seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 3 << 16}
	tests := []struct {
		name  string
		word  seamtable.Assigner
		waits bool
	}{
		{"the predecessor resigned", former, false},
		{"a later epoch of it resigned", seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 4 << 16}, false},
		{"an earlier epoch of it resigned", seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 2 << 16}, true},
		{"another run of it resigned", seamtable.Assigner{Name: "former", Incarnation: 2, Epoch: 3 << 16}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			value, err := seamtable.Encode(seamtable.Table{Service: service, Epoch: former.Epoch, Assigners: []seamtable.Assigner{former}})
			if err != nil {
				t.Fatal(err)
			}
			store.Put(seamelection.TablePrefix+service, value)
			n := newNode(t, store, "n0", 1, 0)
			n.registry.AddResignation(seamelection.Resignation{Service: service, Assigner: tt.word})
			began := time.Now()
			names := func() (both, one bool) {
				table, _ := n.registry.Table(service)
				return table.Epoch > former.Epoch && len(table.Assigners) == 2, table.Epoch > former.Epoch && len(table.Assigners) == 1
			}
			await(t, "the first table", func() bool { both, one := names(); return both || one })
			if tt.waits {
				time.Sleep(300 * time.Millisecond)
				if _, one := names(); one && time.Since(began) < seamassign.DefaultConfig().MaxStoreOutage {
					t.Error("the successor trusts the word of another assigner")
				}
				return
			}
			await(t, "the table without the predecessor", func() bool { _, one := names(); return one })
			if waited := time.Since(began); waited >= seamassign.DefaultConfig().MaxStoreOutage {
				t.Errorf("the successor waited for %v", waited)
			}
		})
	}
}

func TestOfficeGoesOnWhenItsLeaseIsTakenAway(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the election", heldBy(n, "n0"))
	record, _ := n.record()
	store.Revoke()
	await(t, "the restored record", func() bool {
		now, ok := n.record()
		return ok && now.Revision > record.Revision
	})
}

func TestRestartedNodeTakesItsOwnOfficeAtOnce(t *testing.T) {
	store := newStore(t)
	value, err := proto.Marshal(seamelection.LeaderRecord{Epoch: 5, Peer: seampeer.Peer{Name: "n0", Incarnation: 1}}.Wire())
	if err != nil {
		t.Fatal(err)
	}
	// The record of the former run lasts: it has no lease.
	store.Put(seamelection.LeaderPrefix+service, value)
	n := newNode(t, store, "n0", 2, 3)
	await(t, "the office of the later run", func() bool {
		r, ok := n.record()
		return ok && r.Peer.Incarnation == 2
	})
}

func TestUnreadableTableChangesNothing(t *testing.T) {
	sink := seamevent.NewStream("n")
	r := seamelection.NewRegistry(sink)
	value, err := seamtable.Encode(seamtable.Table{Service: service, Epoch: 3})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	r.Put(now, seamstore.Entry{Key: seamelection.TablePrefix + service, Value: value, Revision: 4})
	r.Put(now, seamstore.Entry{Key: seamelection.TablePrefix + service, Value: []byte{0xff}, Revision: 5})
	if table, ok := r.Table(service); !ok || table.Epoch != 3 || table.Revision != 4 {
		t.Errorf("got %+v", table)
	}
	if events := sink.Recent(); len(events) != 1 || events[0].Name != seamevent.TableRefused {
		t.Errorf("the log says %v", events)
	}
}
