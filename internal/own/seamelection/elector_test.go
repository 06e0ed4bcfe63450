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
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	service = "calendar"
	// waitTimeout bounds the wait for a condition that a test expects.
	waitTimeout = 20 * time.Second
)

// peers gives a node a fixed rank and records its resignations.
type peers struct {
	rank int
	// resignations receives the resignations that are announced to other nodes; nil ignores them.
	resignations chan seamelection.Resignation
}

// AnnounceResignation implements seamelection.Peers.
func (p peers) AnnounceResignation(r seamelection.Resignation) {
	if p.resignations != nil {
		p.resignations <- r
	}
}

func (p peers) Rank(string) (int, bool)                   { return p.rank, true }
func (n *node) record() (seamelection.LeaderRecord, bool) { return n.registry.Leader(service) }

// node is a node that campaigns for the leadership.
type node struct {
	self         seampeer.Peer
	registry     *seamelection.Registry
	elector      *seamelection.Elector
	resignations chan seamelection.Resignation
	stop         func()
}

// follow passes the entries of the store to a registry until ctx ends. It lists them again when changes were missed.
func follow(ctx context.Context, store *seamstandkv.Store, registry *seamelection.Registry) {
	mirror := seammirror.New(registry)
	for seamwait.For(ctx, followInterval) {
		entries, revision, err := store.List(ctx, seamstore.Configuration, "")
		if err != nil {
			continue
		}
		mirror.Replace(time.Now(), entries, revision)
		registry.Synced(time.Now())
		// Watch returns when ctx ends or changes were missed.
		_ = store.Watch(ctx, "", revision, func(changes []seamstore.Change) { mirror.Apply(time.Now(), changes) })
	}
}

// followInterval is the time between two lists by follow.
const followInterval = 5 * time.Millisecond

// newNode starts a node that uses the store.
func newNode(t *testing.T, store *seamstandkv.Store, name string, incarnation uint64, rank int) *node {
	t.Helper()
	sink := seamevent.NewStream(name)
	n := &node{self: seampeer.Peer{Name: name, Incarnation: incarnation, Address: "127.0.0.1:1"}, registry: seamelection.NewRegistry(sink), resignations: make(chan seamelection.Resignation, 8)}
	n.elector = seamelection.New(service, n.self, store, n.registry, seamclock.NewClock(), peers{rank, n.resignations}, sink)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follow(ctx, store, n.registry) })
	running.Go(func() { n.elector.Run(ctx) })
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
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func ledBy(n *node, name string) func() bool {
	return func() bool {
		r, ok := n.record()
		return ok && r.Peer.Name == name
	}
}

func TestOneOfManyNodesIsElected(t *testing.T) {
	store := newStore(t)
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, newNode(t, store, fmt.Sprint("n", i), 1, i))
	}
	for _, n := range nodes {
		await(t, "the election", ledBy(n, "n0"))
	}
}

func TestSuccessorIsElectedWhenLeaderWithdraws(t *testing.T) {
	store := newStore(t)
	leader := newNode(t, store, "n0", 1, 0)
	await(t, "the election", ledBy(leader, "n0"))
	successor := newNode(t, store, "n1", 1, 1)
	await(t, "the first table", func() bool { _, ok := successor.registry.Table(service); return ok })
	leader.elector.Withdraw()
	await(t, "the successor's election", ledBy(successor, "n1"))
	record, _ := successor.record()
	await(t, "the epoch of the successor", func() bool { table, _ := successor.registry.Table(service); return table.Epoch == record.Epoch })
}

func TestWithdrawnLeaderContinuesWhileStoreIsDown(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the election", ledBy(n, "n0"))
	await(t, "the first table", func() bool { table, _ := n.registry.Table(service); return table.Epoch != 0 })
	store.SetFaults(seamstandkv.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond) // longer than the leader record's lease
	n.elector.Withdraw()
	select {
	case resigned := <-n.resignations:
		t.Fatalf("%+v resigned although no successor can be elected", resigned)
	case <-time.After(500 * time.Millisecond):
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	n.elector.Stop(ctx)
	table, _ := n.registry.Table(service)
	if resigned := (<-n.resignations).Assigner; resigned.Name != "n0" || resigned.Incarnation != 1 || resigned.Epoch != table.Epoch {
		t.Errorf("%+v resigned in epoch %d", resigned, table.Epoch)
	}
}

func TestWithdrawnLeaderRemovesItselfFromTable(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the first table", func() bool { table, _ := n.registry.Table(service); return table.Epoch != 0 })
	n.elector.Withdraw()
	await(t, "the last table", func() bool { table, _ := n.registry.Table(service); return len(table.Assigners) == 0 })
	if len(n.resignations) > 0 {
		t.Errorf("%+v was also announced to other nodes", <-n.resignations)
	}
}

func TestSuccessorDoesNotWaitForResignedAssigner(t *testing.T) {
	former := seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 3 << 16}
	tests := []struct {
		name     string
		resigned seamtable.Assigner
		waits    bool
	}{
		{"predecessor resigned", former, false},
		{"later epoch of the predecessor resigned", seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 4 << 16}, false},
		{"earlier epoch of the predecessor resigned", seamtable.Assigner{Name: "former", Incarnation: 1, Epoch: 2 << 16}, true},
		{"another incarnation of the predecessor resigned", seamtable.Assigner{Name: "former", Incarnation: 2, Epoch: 3 << 16}, true},
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
			n.registry.AddResignation(seamelection.Resignation{Service: service, Assigner: tt.resigned})
			started := time.Now()
			listedAssigners := func() (withPredecessor, withoutPredecessor bool) {
				table, _ := n.registry.Table(service)
				return table.Epoch > former.Epoch && len(table.Assigners) == 2, table.Epoch > former.Epoch && len(table.Assigners) == 1
			}
			await(t, "the first table", func() bool {
				withPredecessor, withoutPredecessor := listedAssigners()
				return withPredecessor || withoutPredecessor
			})
			if tt.waits {
				time.Sleep(300 * time.Millisecond)
				if _, withoutPredecessor := listedAssigners(); withoutPredecessor && time.Since(started) < seamassign.DefaultConfig().MaxStoreOutage {
					t.Error("the successor accepted the resignation of another assigner")
				}
				return
			}
			await(t, "the table without the predecessor", func() bool { _, withoutPredecessor := listedAssigners(); return withoutPredecessor })
			if waited := time.Since(started); waited >= seamassign.DefaultConfig().MaxStoreOutage {
				t.Errorf("the successor waited for %v, want less than MaxStoreOutage", waited)
			}
		})
	}
}

func TestLeaderRestoresRecordAfterLeaseRevocation(t *testing.T) {
	store := newStore(t)
	n := newNode(t, store, "n0", 1, 0)
	await(t, "the election", ledBy(n, "n0"))
	record, _ := n.record()
	store.RevokeAll()
	await(t, "the restored record", func() bool {
		restored, ok := n.record()
		return ok && restored.Revision > record.Revision
	})
}

func TestRestartedNodeReplacesItsOwnRecordImmediately(t *testing.T) {
	store := newStore(t)
	value, err := proto.Marshal(seamelection.LeaderRecord{Epoch: 5, Peer: seampeer.Peer{Name: "n0", Incarnation: 1}}.ToWire())
	if err != nil {
		t.Fatal(err)
	}
	// The record of the previous run does not expire, since it has no lease.
	store.Put(seamelection.LeaderPrefix+service, value)
	n := newNode(t, store, "n0", 2, 3)
	await(t, "the leader record of the later incarnation", func() bool {
		r, ok := n.record()
		return ok && r.Peer.Incarnation == 2
	})
}

func TestMalformedTableIsIgnored(t *testing.T) {
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
		t.Errorf("got events %v", events)
	}
}
