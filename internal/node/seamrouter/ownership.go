package seamrouter

import (
	"cmp"
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
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamroutes"
)

const (
	// heartbeatReadTimeout bounds the wait for each heartbeat on a stream.
	heartbeatReadTimeout = 3 * time.Second
	// streamOpenTimeout bounds the opening of a stream to the assigner.
	streamOpenTimeout = 500 * time.Millisecond
)

// errNoAssigner is returned when no assigner of the service is known.
var errNoAssigner = errors.New("no assigner of the service is known")

func (n *Node) startOwnership(c *seamstart.Cleanups, _ Options) error {
	client, stop := n.adapter.TargetClient()
	c.Add(stop)
	n.runner = seamholder.NewRunner(seamholder.DefaultConfig(), client, assignerClient{n}, n.clock, targetLoad{n}, n.sink, n.onTargetExit)
	n.stopRunner = sync.OnceFunc(seamstart.Background(n.runner.Run))
	c.Add(n.stopRunner)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.Add(func() {
		cancel()
		running.Wait()
	})
	n.routes.Subscribe(func(t *seamroutes.Table) {
		for _, e := range n.addElectors(t) {
			running.Go(func() { e.Run(ctx) })
		}
		n.targetChanged()
	})
	return nil
}

// addElectors creates and returns the electors of keyed services for which this node has none yet.
func (n *Node) addElectors(t *seamroutes.Table) []*seamelection.Elector {
	n.electorsMu.Lock()
	defer n.electorsMu.Unlock()
	var added []*seamelection.Elector
	for _, s := range t.Services {
		if !s.Keyed || n.electors[s.Name] != nil || n.draining.Load() {
			continue
		}
		e := seamelection.New(s.Name, n.self, n.store, n.registry, n.clock, knownPeers{n}, n.sink)
		e.UsePlacement(func() seamtable.Placement { return n.placement(s.Name) })
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

// knownPeers implements the peer ranking and messaging of elections with the node's member list.
type knownPeers struct {
	node *Node
}

// Rank returns the position of this node among the candidates for the assigner of a service, and whether
// other nodes are known. The order differs from service to service.
func (k knownPeers) Rank(service string) (rank int, known bool) {
	self := k.node.registration.Member()
	if self.Target.Service == "" {
		self.Target.Service = k.node.settings.Service // the target has not announced itself yet
	}
	for _, m := range k.node.members.View().Members {
		if m.Peer.Name == self.Peer.Name {
			continue
		}
		known = true
		if compareCandidates(service, m, self) < 0 {
			rank++
		}
	}
	if !known && self.Target.Service == service {
		rank++
	}
	return rank, known
}

// compareCandidates orders the candidates for the assigner of a service; lower comes first. Nodes on larger machines come
// first, because the assigner of a large service fills a small one. Of equal ones, nodes with a target of the service come
// last.
func compareCandidates(service string, x, y seammembership.Member) int {
	return cmp.Or(
		cmp.Compare(y.Memory, x.Memory),
		cmp.Compare(candidateOrder(x, service), candidateOrder(y, service)),
	)
}

// candidateOrder returns the sort key of a candidate among those on machines of the same size.
func candidateOrder(m seammembership.Member, service string) uint64 {
	n := xxhash.Sum64String(m.Peer.Name+"\x00"+service) >> 1
	if m.Target.Service == service {
		n |= 1 << 63
	}
	return n
}

// assignerClient connects the runner to the assigners of services.
type assignerClient struct {
	node *Node
}

// OpenHeartbeats opens a heartbeat stream to the assigner of the service. A node reaches itself through a pipe.
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
	return c.node.sessions.Open(ctx, record.Peer, seamsession.Heartbeats)
}

// Redirected records an assigner that another node named.
func (c assignerClient) Redirected(service string, leader *wire.Office) {
	c.node.registry.ObserveLeader(service, seamelection.LeaderRecordFromWire(leader))
}

// ConfirmedEpoch returns the epoch of the assigner that the store named, and whether it can be trusted. A node that
// has not read the store since its start trusts it only after MaxStoreOutage plus a lease, when no assigner that was
// superseded before the start can act any more.
func (c assignerClient) ConfirmedEpoch(service string) (uint64, bool) {
	epoch, ok := c.node.registry.ConfirmedEpoch(service)
	cfg := seamassign.DefaultConfig()
	ranLongEnough := seamclock.MinElapsed(c.node.clock.Now(), c.node.started) > cfg.MaxStoreOutage+cfg.Lease
	return epoch, ok || ranLongEnough
}

// StoreEra returns the latest era of the store that this node knows.
func (c assignerClient) StoreEra() int64 { return c.node.store.Era() }

// Reader reports whether this node passes ownership tables on to subscribers.
func (c assignerClient) Reader() bool { return !c.node.feed.Subscribed() }

// TableReceived records a table that the assigner sent, possibly before the store returns it, and passes it on.
func (c assignerClient) TableReceived(service string, table []byte, revision int64) {
	t, err := seamtable.Decode(table)
	if err != nil {
		c.node.sink.Emit(time.Now(), seamevent.TableRefused, seamevent.Fields{"service": service, "revision": revision, "error": err.Error()})
		return
	}
	c.node.registry.ObserveTable(service, seamelection.VersionedTable{Table: t, Revision: revision})
	c.node.feed.PublishTable(seamstore.Entry{Key: seamelection.TablePrefix + service, Value: table, Revision: revision})
}

// ownerHints adds to a NotOwnerError the address of the node that owns the key according to the table.
type ownerHints struct {
	*seamholder.Runner
	node *Node
}

// Acquire calls the runner's Acquire and adds the owner's address to a refusal.
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

// heartbeatHandler answers the heartbeats of holders.
type heartbeatHandler struct {
	node *Node
}

// ServeStream answers the heartbeats on one stream.
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

// targetLoad reports the load of the target.
type targetLoad struct {
	node *Node
}

// Load returns the number of running and queued requests, the mean service time, and the limit that the target states.
func (l targetLoad) Load() seamtable.Load {
	load := l.node.egress.Load()
	return seamtable.Load{
		Concurrency: float64(load.Running + load.Queued),
		ServiceTime: load.ServiceTime.Seconds(),
		MaxRate:     load.MaxRate,
	}
}

// onTargetExit records that the target's process has exited.
func (n *Node) onTargetExit(h seamtable.Holder) {
	n.targets.ProcessEnded(time.Now(), h.Target, h.Born)
}
