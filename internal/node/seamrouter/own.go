package seamrouter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamroutes"
)

const (
	// beatStreamTime bounds the wait for the first beat on a stream, and for each further one.
	beatStreamTime = 3 * time.Second
	// openTime bounds the opening of a stream to the assigner.
	openTime = 500 * time.Millisecond
)

// errNoAssigner says that no node is known to assign the keys of a service.
var errNoAssigner = errors.New("no assigner of the service is known")

func (n *Node) startOwnership(c *seamstart.Cleanups, _ Options) error {
	orders, stop := n.adapter.TargetClient()
	c.Add(stop)
	n.runner = seamholder.NewRunner(seamholder.DefaultConfig(), orders, beatLink{n}, n.clock, targetWork{n}, n.sink, n.targetEnded)
	n.stopRunner = sync.OnceFunc(seamstart.Background(n.runner.Run))
	c.Add(n.stopRunner)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.Add(func() {
		cancel()
		running.Wait()
	})
	n.book.Subscribe(func(t *seamroutes.Table) {
		for _, o := range n.openOffices(t) {
			running.Go(func() { o.Run(ctx) })
		}
		n.targetChanged()
	})
	return nil
}

// openOffices returns the offices of the keyed services that this node does not stand for yet.
func (n *Node) openOffices(t *seamroutes.Table) []*seamelection.Elector {
	n.officeMu.Lock()
	defer n.officeMu.Unlock()
	var opened []*seamelection.Elector
	for _, s := range t.Services {
		if !s.Keyed || n.offices[s.Name] != nil || n.leaving.Load() {
			continue
		}
		office := seamelection.New(s.Name, n.self, n.store, n.registry, n.clock, knownPeers{n}, n.sink)
		n.offices[s.Name] = office
		opened = append(opened, office)
	}
	return opened
}

func (n *Node) office(service string) *seamelection.Elector {
	n.officeMu.Lock()
	defer n.officeMu.Unlock()
	return n.offices[service]
}

// knownPeers tells what the node knows of itself and of other nodes.
type knownPeers struct {
	node *Node
}

// Rank returns the place of this node among the candidates for the assigner of a service. The
// order differs from service to service.
func (k knownPeers) Rank(service string) (rank int, known bool) {
	self := k.node.entry.Member()
	if self.Target.Service == "" {
		self.Target.Service = k.node.settings.Service // the target has not announced itself yet
	}
	before := candidacy(self, service)
	for _, m := range k.node.roll.View().Members {
		if m.Peer.Name == self.Peer.Name {
			continue
		}
		known = true
		if candidacy(m, service) < before {
			rank++
		}
	}
	if !known && self.Target.Service == service {
		rank++
	}
	return rank, known
}

// candidacy returns a number by which candidates are ordered.
func candidacy(m seammembership.Member, service string) uint64 {
	n := xxhash.Sum64String(m.Peer.Name+"\x00"+service) >> 1
	if m.Target.Service == service {
		n |= 1 << 63
	}
	return n
}

// beatLink opens streams to assigners.
type beatLink struct {
	node *Node
}

// OpenBeats opens a stream to the assigner of the service. A node reaches itself without the network.
func (l beatLink) OpenHeartbeats(ctx context.Context, service string) (net.Conn, error) {
	record, ok := l.node.registry.Leader(service)
	if !ok {
		return nil, errNoAssigner
	}
	if record.Peer.Same(l.node.self) {
		near, far := net.Pipe()
		go beatHandler(l).ServeStream(ctx, l.node.self, far)
		return near, nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	return l.node.sessions.Open(ctx, record.Peer, seamsession.Heartbeats)
}

// Redirected takes note of an assigner that another node named.
func (l beatLink) Redirected(service string, office *wire.Office) {
	l.node.registry.ObserveLeader(service, seamelection.LeaderRecordOf(office))
}

// Confirmed returns the epoch of the assigner that the store named. A node that has not read the store
// since its start waits until no assigner that was replaced before can act.
func (l beatLink) ConfirmedEpoch(service string) (uint64, bool) {
	epoch, ok := l.node.registry.ConfirmedEpoch(service)
	cfg := seamassign.DefaultConfig()
	old := seamclock.MinElapsed(l.node.clock.Now(), l.node.began) > cfg.MaxStoreOutage+cfg.Lease
	return epoch, ok || old
}

// Learned takes a table that the assigner sent, before the store shows it.
func (l beatLink) TableReceived(service string, table []byte, revision int64) {
	t, err := seamtable.Decode(table)
	if err != nil {
		l.node.sink.Emit(time.Now(), seamevent.TableRefused, seamevent.Fields{"service": service, "revision": revision, "error": err.Error()})
		return
	}
	l.node.registry.ObserveTable(service, seamelection.VersionedTable{Table: t, Revision: revision})
}

// hintedOwners adds to a refusal the node that is believed to own the key.
type hintedOwners struct {
	*seamholder.Runner
	node *Node
}

// Acquire is that of the runner.
func (h hintedOwners) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	grant, release, err := h.Runner.Acquire(ctx, id)
	var not *seamgrant.NotOwnerError
	if errors.As(err, &not) && !not.GrantPending {
		if p, ok := (directory{h.node}).Owner(id.Service, id.Index); ok && p.Name != h.node.self.Name {
			not.Owner = p.Address
		}
	}
	return grant, release, err
}

// beatHandler answers the beats of holders.
type beatHandler struct {
	node *Node
}

// ServeStream answers the beats on one stream.
func (h beatHandler) ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	reader, done := seamframe.NewReader(conn)
	defer done()
	next := func() (*wire.Beat, error) {
		conn.SetReadDeadline(time.Now().Add(beatStreamTime))
		beat := new(wire.Beat)
		return beat, reader.ReadMessage(seamframe.Beat, beat)
	}
	first, err := next()
	if err != nil {
		return // the node at the other end opens another stream
	}
	if office := h.node.office(first.GetService()); office != nil {
		office.ServeHeartbeats(ctx, from, conn, first, next)
	}
}

// targetWork tells how much work the target has.
type targetWork struct {
	node *Node
}

// Work returns the number of requests at the target, and the mean time of one, in seconds.
func (w targetWork) Load() (busy, service float64) {
	load := w.node.egress.Load()
	return float64(load.Running + load.Queued), load.ServiceTime.Seconds()
}

// targetEnded takes note that the process of the target has ended.
func (n *Node) targetEnded(h seamtable.Holder) {
	n.targets.ProcessEnded(time.Now(), h.Target, h.Born)
}
