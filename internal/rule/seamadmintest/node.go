// Package seamadmintest runs the administration API of one node for tests, with an in-memory
// store and one cell that confirms every revision as soon as its rules are in force.
package seamadmintest

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/rule/seamadmin"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamconfirm"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
	"cardamomseam/internal/rule/seamrulestore"
	"cardamomseam/internal/rule/seamstoretest"
)

// Node is a node with a running administration API and fixed status, keys and instances.
type Node struct {
	Store   *seamstoretest.MemoryStore
	RuleSet *seamruleset.Set
	Events  *seamevent.Stream
	// Address is the ip:port of the API.
	Address string

	mu              sync.Mutex
	operations      []string
	unreachableCell bool
}

// awaitTimeout limits how long Await waits for rules in the store to come into force.
const awaitTimeout = 10 * time.Second

// storeTimeout limits the total time of store calls for one change.
const storeTimeout = 300 * time.Millisecond

// New starts a node and stops it at the end of the test.
func New(t *testing.T, teams ...seamauth.Team) *Node {
	t.Helper()
	m := metrics.NewSet()
	n := &Node{Store: &seamstoretest.MemoryStore{}, Events: seamevent.NewStream("n1")}
	n.RuleSet = seamruleset.New(n.Events, m)
	server, err := seamadmin.New(seamadmin.Config{Teams: teams, StoreTimeout: storeTimeout}, seamadmin.Dependencies{
		RuleStore:  seamrulestore.New(n.Store, n.RuleSet, n.Events, m),
		RuleSet:    n.RuleSet,
		Confirmer:  n.confirmer(t, m),
		Targets:    n,
		Status:     n,
		Keys:       n,
		Operations: n,
		Events:     n.Events,
		Metrics:    m,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = n.RuleSet.Watch(ctx, n.Store) })
	h := httptest.NewServer(server.Handler())
	n.Address = strings.TrimPrefix(h.URL, "http://")
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
		cancel()
		group.Wait()
	})
	return n
}

func (n *Node) confirmer(t *testing.T, m *metrics.Set) *seamconfirm.Confirmer {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	c := seamconfirm.New(n, n, nil, n.Events, m)
	group.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

// Await waits until the rules in force are at the revision or a later one.
func (n *Node) Await(t *testing.T, revision int64) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); n.RuleSet.Revision() < revision; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("revision %d in force, want %d", n.RuleSet.Revision(), revision)
		}
	}
}

// SetUnreachableCell adds or removes a second cell, which is unreachable.
func (n *Node) SetUnreachableCell(present bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachableCell = present
}

// Cells implements seamconfirm.Cells.
func (n *Node) Cells() []seamconfirm.CellRef {
	n.mu.Lock()
	defer n.mu.Unlock()
	cells := []seamconfirm.CellRef{{ID: "erie-1", Coordinator: seampeer.Peer{Name: "n1"}}}
	if n.unreachableCell {
		cells = append(cells, seamconfirm.CellRef{ID: "superior-1", Coordinator: seampeer.Peer{Name: "n9"}})
	}
	return cells
}

// Own implements seamconfirm.Cells.
func (n *Node) OwnCell() (seamconfirm.CellState, bool) {
	return seamconfirm.CellState{Cell: "erie-1", Epoch: 4, Confirmed: n.RuleSet.Revision()}, true
}

// Send implements seamconfirm.Sender and drops every datagram.
func (n *Node) Send(seampeer.Peer, []byte) error { return nil }

// Instances implements seamadmin.Targets.
func (n *Node) Instances(string) []seamrule.Instance {
	return []seamrule.Instance{
		{Name: "n1", Region: "erie", Domain: "erie-a", Labels: map[string]string{"tier": "hot"}},
		{Name: "n2", Region: "superior", Domain: "superior-a"},
	}
}

// Status implements seamadmin.StatusReporter.
func (n *Node) Status(context.Context) seamapi.StatusReport {
	at := time.Unix(1_700_000_000, 0).UTC()
	return seamapi.StatusReport{
		Node:     "n1",
		Revision: n.RuleSet.Revision(),
		Store:    seamapi.StoreStatus{Reachable: true, Since: at},
		Cells: []seamapi.CellStatus{{
			Cell: "erie-1", Region: "erie", Revision: n.RuleSet.Revision(), Epoch: 4, Coordinator: "n1", Backup: "n2",
			Slots: 12, Owned: 12, Owners: map[string]int{"n2": 5, "n1": 7}, ChangedAt: at, Reachable: true, AnsweredBy: "n1",
		}, {
			Cell: "michigan-1", Region: "michigan", Epoch: 2, Coordinator: "n5", Backup: "n6", Slots: 12,
			Fault: "n5 (10.0.0.5:7301) does not answer: connection refused",
		}, {
			Cell: "superior-1", Region: "superior", Epoch: 3, Coordinator: "n3", Backup: "n4",
			Slots: 6, Owned: 6, Owners: map[string]int{"n3": 6}, ChangedAt: at, AnsweredBy: "n4",
			Fault: "n3 (10.0.0.3:7301) does not answer: i/o timeout",
		}},
		Nodes: []seamapi.NodeStatus{
			{Node: "n1", Region: "erie", Domain: "erie-a", Cell: "erie-1", Service: "tally", Revision: n.RuleSet.Revision(), Load: 3, Slots: 12, Queue: new(int), Owned: 7, State: "serving"},
			{Node: "n2", Region: "superior", Domain: "superior-a", Cell: "erie-1", Service: "booker", Revision: n.RuleSet.Revision(), Slots: 12, Owned: 5, State: "draining"},
			{Node: "n3", Region: "superior", Domain: "superior-b", Cell: "superior-1", Service: "booker", Slots: 12, Owned: 6, State: "serving"},
		},
	}
}

// Keys implements seamadmin.KeyReporter.
func (n *Node) Keys(time.Time) seamapi.KeysReport {
	return seamapi.KeysReport{Node: "n1", Keys: []seamapi.KeyRate{
		{Key: "household-7", Service: "tally", Slot: 5, Rate: 1200, MaxError: 2.25},
		{Key: "b\x1b[31m\n", Service: "booker", Slot: 300, Rate: 41.5, MaxError: 41},
		{Key: "household-9", Service: "tally", Slot: 0, Rate: 3},
	}}
}

// Drain implements seamadmin.Operations.
func (n *Node) Drain(ctx context.Context, node string, allowed func(service string) error) error {
	service := ""
	for _, s := range n.Status(ctx).Nodes {
		if s.Node == node {
			service = s.Service
		}
	}
	if err := allowed(service); err != nil {
		return err
	}
	if service == "" {
		return &seamkeeper.NodeNotFoundError{Node: node, Cells: 2}
	}
	n.recordOperation("drain " + node)
	return nil
}

// Attest implements seamadmin.Operations.
func (n *Node) Attest(_ context.Context, cell string, instances []string) error {
	n.recordOperation("attest " + cell + " " + strings.Join(instances, " "))
	return nil
}

func (n *Node) recordOperation(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.operations = append(n.operations, text)
}

// Operations returns the drains and attestations executed so far, in order.
func (n *Node) Operations() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.operations...)
}
