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
	heartbeatReadTimeout = 3 * time.Second
	// openTime bounds the opening of a stream to the assigner.
	streamOpenTimeout = 500 * time.Millisecond
)

// errNoAssigner says that no node is known to assign the keys of a service.
var errNoAssigner = errors.New("no assigner of the service is known")

func (n *Node) startOwnership(c *seamstart.Cleanups, _ Options) error {
	orders, stop := n.adapter.TargetClient()
	c.Add(stop)
	n.runner = seamholder.NewRunner(seamholder.DefaultConfig(), orders, assignerClient{n}, n.clock, targetLoad{n}, n.sink, n.onTargetExit)
	n.stopRunner = sync.OnceFunc(seamstart.Background(n.runner.Run))
	c.Add(n.stopRunner)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.Add(func() {
		cancel()
		running.Wait()
	})
	n.routes.Listen(func(t *seamroutes.Table) {
		for _, o := range n.addElectors(t) {
			running.Go(func() { o.Run(ctx) })
		}
		n.targetChanged()
	})
	return nil
}

// openOffices returns the offices of the keyed services that this node does not stand for yet.
func (n *Node) addElectors(t *seamroutes.Table) []*seamelection.Elector {
	n.electorsMu.Lock()
	defer n.electorsMu.Unlock()
	var added []*seamelection.Elector
	for _, s := range t.Services {
		if !s.Keyed || n.electors[s.Name] != nil || n.draining.Load() {
			continue
		}
		e := seamelection.New(s.Name, n.self, n.store, n.registry, n.clock, knownPeers{n}, n.sink)
		n.electors[s.Name] = e
		added = append(added, e)
	}
	return added
}

func (n *Node) elector(service string) *seamelection.Elector {
	n.electorsMu.Lock()
	defer n.electorsMu.Unlock()
	return n.electors[service]
}

// knownPeers tells what the node knows of itself and of other nodes.
type knownPeers struct {
	node *Node
}

// Rank returns the place of this node among the candidates for the assigner of a service. The
// order differs from service to service.
func (k knownPeers) Rank(service string) (rank int, known bool) {
	self := k.node.registration.Member()
	if self.Target.Service == "" {
		self.Target.Service = k.node.settings.Service // the target has not announced itself yet
	}
	own := candidateOrder(self, service)
	for _, m := range k.node.members.View().Members {
		if m.Peer.Name == self.Peer.Name {
			continue
		}
		known = true
		if candidateOrder(m, service) < own {
			rank++
		}
	}
	if !known && self.Target.Service == service {
		rank++
	}
	return rank, known
}

// candidacy returns a number by which candidates are ordered.
func candidateOrder(m seammembership.Member, service string) uint64 {
	n := xxhash.Sum64String(m.Peer.Name+"\x00"+service) >> 1
	if m.Target.Service == service {
		n |= 1 << 63
	}
	return n
}

// beatLink opens streams to assigners.
type assignerClient struct {
	node *Node
}

// OpenBeats opens a stream to the assigner of the service. A node reaches itself without the network.
func (c assignerClient) OpenHeartbeats(ctx context.Context, service string) (net.Conn, error) {
	record, ok := c.node.registry.Leader(service)
	if !ok {
		return nil, errNoAssigner
	}
	if record.Peer.Same(c.node.self) {
		local, remote := net.Pipe()
		go heartbeatHandler(c).ServeStream(ctx, c.node.self, remote)
		return local, nil
	}
	ctx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	defer cancel()
	return c.node.sessions.Open(ctx, record.Peer, seamsession.Beats)
}

// Redirected takes note of an assigner that another node named.
func (c assignerClient) Redirected(service string, leader *wire.Office) {
	c.node.registry.ObserveLeader(service, seamelection.LeaderRecordOf(leader))
}

// Confirmed returns the epoch of the assigner that the store named. A node that has not read the store
// since its start waits until no assigner that was replaced before can act.
func (c assignerClient) ConfirmedEpoch(service string) (uint64, bool) {
	epoch, ok := c.node.registry.ConfirmedEpoch(service)
	cfg := seamassign.DefaultConfig()
	ranLongEnough := seamclock.MinElapsed(c.node.clock.Now(), c.node.started) > cfg.MaxStoreOutage+cfg.Lease
	return epoch, ok || ranLongEnough
}

// Learned takes a table that the assigner sent, before the store shows it.
func (c assignerClient) TableReceived(service string, table []byte, revision int64) {
	t, err := seamtable.Decode(table)
	if err != nil {
		c.node.sink.Emit(time.Now(), seamevent.TableRefused, seamevent.Fields{"service": service, "revision": revision, "error": err.Error()})
		return
	}
	c.node.registry.ObserveTable(service, seamelection.VersionedTable{Table: t, Revision: revision})
}

// hintedOwners adds to a refusal the node that is believed to own the key.
type ownerHints struct {
	*seamholder.Runner
	node *Node
}

// Acquire is that of the runner.
func (h ownerHints) Acquire(ctx context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	grant, release, err := h.Runner.Acquire(ctx, id)
	var notOwner *seamgrant.NotOwnerError
	if errors.As(err, &notOwner) && !notOwner.GrantPending {
		if p, ok := (directory{h.node}).Owner(id.Service, id.Index); ok && p.Name != h.node.self.Name {
			notOwner.Owner = p.Address
		}
	}
	return grant, release, err
}

// beatHandler answers the beats of holders.
type heartbeatHandler struct {
	node *Node
}

// ServeStream answers the beats on one stream.
func (h heartbeatHandler) ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	reader, done := seamframe.NewReader(conn)
	defer done()
	next := func() (*wire.Beat, error) {
		conn.SetReadDeadline(time.Now().Add(heartbeatReadTimeout))
		heartbeat := new(wire.Beat)
		return heartbeat, reader.ReadMessage(seamframe.Beat, heartbeat)
	}
	first, err := next()
	if err != nil {
		return // the node at the other end opens another stream
	}
	if e := h.node.elector(first.GetService()); e != nil {
		e.ServeHeartbeats(ctx, from, conn, first, next)
	}
}

// targetWork tells how much work the target has.
type targetLoad struct {
	node *Node
}

// Work returns the number of requests at the target, and the mean time of one, in seconds.
func (l targetLoad) Load() (busy, service float64) {
	load := l.node.egress.Load()
	return float64(load.Running + load.Queued), load.ServiceTime.Seconds()
}

// targetEnded takes note that the process of the target has ended.
func (n *Node) onTargetExit(h seamtable.Holder) {
	n.targets.Down(time.Now(), h.Target, h.Born)
}
