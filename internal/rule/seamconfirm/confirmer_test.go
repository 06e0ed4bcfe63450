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

// network delivers datagrams between confirmers, each of which coordinates one cell.
type network struct {
	nodes map[string]*node
	lost  func() bool
	queue []datagram
	sent  int
}

type datagram struct {
	from, to seampeer.Peer
	payload  []byte
}

// node is a coordinator; it implements CellDirectory and Sender.
type node struct {
	network   *network
	peer      seampeer.Peer
	confirmed int64
	announced int64
	confirmer *seamconfirm.Confirmer
	events    *seamevent.Stream
}

func (n *node) Cells() []seamconfirm.CellRef {
	var refs []seamconfirm.CellRef
	for name, o := range n.network.nodes {
		refs = append(refs, seamconfirm.CellRef{ID: "cell-" + name, Coordinator: o.peer})
	}
	return refs
}

func (n *node) OwnCell() (seamconfirm.CellState, bool) {
	return seamconfirm.CellState{Cell: "cell-" + n.peer.Name, Epoch: 3, Confirmed: n.confirmed}, true
}

func (n *node) Send(to seampeer.Peer, payload []byte) error {
	n.network.sent++
	n.network.queue = append(n.network.queue, datagram{n.peer, to, payload})
	return nil
}

func newNetwork(count int, lost func() bool) *network {
	m := &network{nodes: map[string]*node{}, lost: lost}
	for i := range count {
		n := &node{network: m, peer: seampeer.Peer{Name: fmt.Sprintf("n%d", i), Incarnation: 1}, events: seamevent.NewStream("n")}
		onRevision := func(_ time.Time, _ seampeer.Peer, revision int64) { n.announced = revision }
		n.confirmer = seamconfirm.New(n, n, onRevision, n.events, metrics.NewSet())
		m.nodes[n.peer.Name] = n
	}
	return m
}

// deliver delivers datagrams until the queue is empty.
func (m *network) deliver(now time.Time) {
	for len(m.queue) > 0 {
		d := m.queue[0]
		m.queue = m.queue[1:]
		if !m.lost() {
			m.nodes[d.to.Name].confirmer.Receive(now, d.from, d.payload)
		}
	}
}

func noLoss() bool { return false }

func TestAcceptedOnceEveryCellConfirms(t *testing.T) {
	m := newNetwork(4, noLoss)
	requester := m.nodes["n0"]
	requester.confirmer.RequestConfirmation(start, 7)
	m.deliver(start)
	if requester.confirmer.Status(7).Accepted {
		t.Fatal("accepted before any cell confirmed")
	}
	for name, n := range m.nodes {
		if name != "n3" {
			n.confirmed = 7
		}
		if n != requester && n.announced != 7 {
			t.Errorf("%s did not receive revision 7", name)
		}
		n.confirmer.Tick(start.Add(50 * time.Millisecond))
	}
	m.deliver(start.Add(50 * time.Millisecond))
	if diff := cmp.Diff([]string{"cell-n3"}, requester.confirmer.Status(7).UnconfirmedCells()); diff != "" {
		t.Fatalf("unconfirmed cells (-want +got):\n%s", diff)
	}
	m.nodes["n3"].confirmed = 9
	m.nodes["n3"].confirmer.Tick(start.Add(90 * time.Millisecond))
	m.deliver(start.Add(90 * time.Millisecond))
	if !requester.confirmer.Status(7).Accepted || requester.confirmer.Status(8).Accepted {
		t.Fatalf("status %+v", requester.confirmer.Status(7))
	}
	events := requester.events.Recent()
	if len(events) != 1 || events[0].Name != seamevent.RuleAccepted {
		t.Fatalf("events %+v", events)
	}
	if want := 2 * (len(m.nodes) - 1); m.sent > want {
		t.Errorf("%d datagrams, want at most %d", m.sent, want)
	}
}

func TestLostDatagramsAreResent(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	m := newNetwork(420, func() bool { return draw.IntN(5) == 0 })
	for _, n := range m.nodes {
		n.confirmed = 5
	}
	requester := m.nodes["n0"].confirmer
	requester.RequestConfirmation(start, 5)
	now := start
	for ; !requester.Status(5).Accepted; now = now.Add(50 * time.Millisecond) {
		if now.Sub(start) > 6*time.Second {
			t.Fatalf("unconfirmed after 6 s: %v", requester.Status(5).UnconfirmedCells())
		}
		requester.Tick(now)
		m.deliver(now)
	}
	t.Logf("420 cells, one datagram in five lost: accepted after %v with %d datagrams", now.Sub(start), m.sent)
	sent := m.sent
	requester.Tick(now.Add(time.Minute))
	if m.sent != sent {
		t.Fatal("a request was resent after every cell confirmed")
	}
}

func TestOlderAnswerIsIgnored(t *testing.T) {
	m := newNetwork(2, noLoss)
	m.nodes["n1"].confirmed = 8
	requester := m.nodes["n0"]
	requester.confirmed = 8
	requester.confirmer.RequestConfirmation(start, 8)
	m.deliver(start)
	m.nodes["n1"].confirmed = 2
	requester.confirmer.RequestConfirmation(start, 9)
	now := start.Add(time.Second)
	requester.confirmer.Tick(now)
	m.deliver(now)
	if !requester.confirmer.Status(8).Accepted {
		t.Fatal("an accepted revision is no longer accepted")
	}
}

func TestWait(t *testing.T) {
	m := newNetwork(1, noLoss)
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
	m := newNetwork(2, noLoss)
	m.nodes["n1"].confirmed = 5
	requester := m.nodes["n0"].confirmer
	requester.RequestConfirmation(start, 5)
	waited := make(chan seamconfirm.Status, 1)
	go func() { waited <- requester.Wait(t.Context(), 5, 0) }()
	m.deliver(start)
	select {
	case s := <-waited:
		if diff := cmp.Diff([]string{"cell-n0"}, s.UnconfirmedCells()); diff != "" {
			t.Errorf("unconfirmed (-want +got):\n%s", diff)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Wait did not return after a cell confirmed")
	}
}

func TestAnnounceRevisionSendsOnce(t *testing.T) {
	m := newNetwork(3, noLoss)
	from := m.nodes["n0"]
	from.confirmer.AnnounceRevision(7, []seampeer.Peer{m.nodes["n1"].peer})
	m.deliver(start)
	if m.nodes["n1"].announced != 7 || m.nodes["n2"].announced != 0 {
		t.Errorf("announced revisions: %d to n1 and %d to n2, want 7 and 0", m.nodes["n1"].announced, m.nodes["n2"].announced)
	}
	from.confirmer.Tick(start.Add(time.Minute))
	if m.sent != 1 {
		t.Errorf("%d datagrams were sent, want 1", m.sent)
	}
}
