package seamconfirm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamconfirm"
)

var start = time.Unix(1_700_000_000, 0)

// mesh passes datagrams between confirmers, each the coordinator of one cell.
type mesh struct {
	nodes map[string]*node
	lost  func() bool
	queue []datagram
	sent  int
}

type datagram struct {
	from, to seampeer.Peer
	payload  []byte
}

// node is one coordinator; it implements Cells and Sender.
type node struct {
	mesh      *mesh
	peer      seampeer.Peer
	confirmed int64
	behind    int64
	confirmer *seamconfirm.Confirmer
	events    *seamevent.Stream
}

func (n *node) Cells() []seamconfirm.CellRef {
	var refs []seamconfirm.CellRef
	for name, o := range n.mesh.nodes {
		refs = append(refs, seamconfirm.CellRef{ID: "cell-" + name, Coordinator: o.peer})
	}
	return refs
}

func (n *node) OwnCell() (seamconfirm.CellState, bool) {
	return seamconfirm.CellState{Cell: "cell-" + n.peer.Name, Epoch: 3, Confirmed: n.confirmed}, true
}

func (n *node) Send(to seampeer.Peer, payload []byte) error {
	n.mesh.sent++
	n.mesh.queue = append(n.mesh.queue, datagram{n.peer, to, payload})
	return nil
}

func newMesh(count int, lost func() bool) *mesh {
	m := &mesh{nodes: map[string]*node{}, lost: lost}
	for i := range count {
		n := &node{mesh: m, peer: seampeer.Peer{Name: fmt.Sprintf("n%d", i), Incarnation: 1}, events: seamevent.NewStream("n")}
		behind := func(_ time.Time, _ seampeer.Peer, revision int64) { n.behind = revision }
		n.confirmer = seamconfirm.New(n, n, behind, n.events, metrics.NewSet())
		m.nodes[n.peer.Name] = n
	}
	return m
}

// deliver passes datagrams until none is left.
func (m *mesh) deliver(now time.Time) {
	for len(m.queue) > 0 {
		d := m.queue[0]
		m.queue = m.queue[1:]
		if !m.lost() {
			m.nodes[d.to.Name].confirmer.Receive(now, d.from, d.payload)
		}
	}
}

func never() bool { return false }

func TestAcceptedOnceEveryCellConfirms(t *testing.T) {
	m := newMesh(4, never)
	asking := m.nodes["n0"]
	asking.confirmer.RequestConfirmation(start, 7)
	m.deliver(start)
	if asking.confirmer.Status(7).Accepted {
		t.Fatal("accepted before any cell confirmed")
	}
	for name, n := range m.nodes {
		if name != "n3" {
			n.confirmed = 7
		}
		if n != asking && n.behind != 7 {
			t.Errorf("%s was not told of revision 7", name)
		}
		n.confirmer.Tick(start.Add(50 * time.Millisecond))
	}
	m.deliver(start.Add(50 * time.Millisecond))
	if diff := cmp.Diff([]string{"cell-n3"}, asking.confirmer.Status(7).UnconfirmedCells()); diff != "" {
		t.Fatalf("missing cells (-want +got):\n%s", diff)
	}
	m.nodes["n3"].confirmed = 9
	m.nodes["n3"].confirmer.Tick(start.Add(90 * time.Millisecond))
	m.deliver(start.Add(90 * time.Millisecond))
	if !asking.confirmer.Status(7).Accepted || asking.confirmer.Status(8).Accepted {
		t.Fatalf("status %+v", asking.confirmer.Status(7))
	}
	events := asking.events.Recent()
	if len(events) != 1 || events[0].Name != seamevent.RuleAccepted {
		t.Fatalf("events %+v", events)
	}
	if want := 2 * (len(m.nodes) - 1); m.sent > want {
		t.Errorf("%d datagrams, want at most %d", m.sent, want)
	}
}

func TestLostDatagramsAreResent(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	m := newMesh(420, func() bool { return draw.IntN(5) == 0 })
	for _, n := range m.nodes {
		n.confirmed = 5
	}
	asking := m.nodes["n0"].confirmer
	asking.RequestConfirmation(start, 5)
	now := start
	for ; !asking.Status(5).Accepted; now = now.Add(50 * time.Millisecond) {
		if now.Sub(start) > 6*time.Second {
			t.Fatalf("missing after 6 s: %v", asking.Status(5).UnconfirmedCells())
		}
		asking.Tick(now)
		m.deliver(now)
	}
	t.Logf("420 cells, one datagram in five lost: accepted after %v with %d datagrams", now.Sub(start), m.sent)
	sent := m.sent
	asking.Tick(now.Add(time.Minute))
	if m.sent != sent {
		t.Fatal("a question was repeated after it was answered")
	}
}

func TestOlderAnswerIsIgnored(t *testing.T) {
	m := newMesh(2, never)
	m.nodes["n1"].confirmed = 8
	asking := m.nodes["n0"]
	asking.confirmed = 8
	asking.confirmer.RequestConfirmation(start, 8)
	m.deliver(start)
	m.nodes["n1"].confirmed = 2
	asking.confirmer.RequestConfirmation(start, 9)
	now := start.Add(time.Second)
	asking.confirmer.Tick(now)
	m.deliver(now)
	if !asking.confirmer.Status(8).Accepted {
		t.Fatal("an accepted revision is no longer accepted")
	}
}

func TestWait(t *testing.T) {
	m := newMesh(1, never)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if s := m.nodes["n0"].confirmer.Wait(ctx, 3, 0); s.Accepted {
		t.Fatal("accepted")
	}
	m.nodes["n0"].confirmed = 3
	if s := m.nodes["n0"].confirmer.Wait(t.Context(), 3, 0); !s.Accepted {
		t.Fatalf("status %+v", s)
	}
}

func TestWaitReturnsOnEachConfirmation(t *testing.T) {
	m := newMesh(2, never)
	m.nodes["n1"].confirmed = 5
	asking := m.nodes["n0"].confirmer
	asking.RequestConfirmation(start, 5)
	waited := make(chan seamconfirm.Status, 1)
	go func() { waited <- asking.Wait(t.Context(), 5, 0) }()
	m.deliver(start)
	select {
	case s := <-waited:
		if diff := cmp.Diff([]string{"cell-n0"}, s.UnconfirmedCells()); diff != "" {
			t.Errorf("missing (-want +got):\n%s", diff)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the wait goes on after a cell confirmed")
	}
}

func TestAnnounceRevisionSendsOnce(t *testing.T) {
	m := newMesh(3, never)
	from := m.nodes["n0"]
	from.confirmer.AnnounceRevision(7, []seampeer.Peer{m.nodes["n1"].peer})
	m.deliver(start)
	if m.nodes["n1"].behind != 7 || m.nodes["n2"].behind != 0 {
		t.Errorf("heard %d and %d", m.nodes["n1"].behind, m.nodes["n2"].behind)
	}
	from.confirmer.Tick(start.Add(time.Minute))
	if m.sent != 1 {
		t.Errorf("%d datagrams were sent", m.sent)
	}
}
