package seamrouter

import (
	"context"
	"net/http"
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/platform/seamhttp"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
)

// dialTime bounds the opening of a connection to the target, which stands on the same machine.
const dialTime = 250 * time.Millisecond

// startRequests starts the path of requests: the egress in front of the target, and the
// ingress for callers.
func (n *Node) startRequests(c *seamstart.Cleanups, _ Options) error {
	n.targets = seamannounce.NewRegistry(announceLife, n.sink, besideWatcher{n})
	egress, stop := seamegress.New(seamegress.Config{
		DialTimeout:         dialTime,
		AdmitByObjective:    true,
		Dialect:             n.adapter.Dialect,
		OnConnectionRefused: func(a seamtarget.Announcement) { n.targets.ProcessEnded(time.Now(), a.Name, a.Started) },
		HandoverGrace:       n.settings.Stop.Linger,
		RulesRevision:       n.book.Revision,
		BodyBufferBytes:     n.holdBytes(),
	}, n.self, hintedOwners{n.runner, n}, n.targets, n.clock, n.runner, n.set, n.sink)
	n.egress = egress
	c.Add(stop)
	n.sessions.Register(seamsession.Request, egress)
	n.sessions.Register(seamsession.Void, seamegress.VoidHandler{Egress: egress})
	budgets := seamretry.NewWindowBudgets(n.retryLimits)
	n.ingress = seamingress.New(seamingress.Config{
		Address:            n.settings.Ingress,
		Chooser:            seambalance.New(seambalance.Config{}, n.self, n.set),
		Budget:             func(service string) seamingress.Budget { return budgets.For(service) },
		UniqueAttemptIDs:   true,
		OmitOptionalFields: true,
		OwnersComplete:     true,
		OwnersChanged:      n.registry.Changed,
		OnOwnerUnreachable: n.awaitOwners,
		OriginService:      n.origin,
		Middleware:         n.adapter.CallerMiddleware,
		OnRulesRevision:    n.heardRules,
	}, n.self, rulesOf{n}, directory{n}, n.sessions, egress, n.set, n.sink)
	server, err := n.ingress.Serve()
	if err != nil {
		return err
	}
	n.server = server
	c.Add(func() { _ = server.Close() })
	return nil
}

const (
	// holdPart is the part of the node's memory for bodies that wait for their turn at the target.
	holdPart = 16
	// holdDefault is the memory for them if the node's memory has no bound, in bytes.
	holdDefault = 16 << 20
)

// holdBytes returns the memory for bodies that wait for their turn at the target.
func (n *Node) holdBytes() int64 {
	if n.settings.Memory == 0 {
		return holdDefault
	}
	return int64(n.settings.Memory) << 20 / holdPart
}

// retryLimits returns the bounds of repetitions as they are now.
func (n *Node) retryLimits() seamretry.Limits {
	r := n.retry.Load()
	return seamretry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Nodes: len(n.roll.View().Members)}
}

// rulesOf decides by the routes in force.
type rulesOf struct {
	node *Node
}

// Decide returns the choice for a request.
func (r rulesOf) Decide(q *http.Request, service, region string) (seamrule.Decision, error) {
	choice, err := r.node.book.Decide(q, service, region)
	choice.Limits.QueueLength = queueLimit
	return choice, err
}

// queueLimit is the number of requests that may wait for a target.
const queueLimit = 256

// directory tells the ingress of the members and of the owners of keys.
type directory struct {
	node *Node
}

// Owner returns the node beside the target that holds the key.
func (d directory) Owner(service string, key uint32) (seampeer.Peer, bool) {
	t, ok := d.node.registry.Table(service)
	if !ok {
		return seampeer.Peer{}, false
	}
	r, ok := t.Find(key)
	if !ok {
		return seampeer.Peer{}, false
	}
	peer, ok := t.Node(r)
	return d.anyRun(peer), ok
}

// anyRun returns the node without its run: a node that has just restarted beside its target serves on.
func (d directory) anyRun(p seampeer.Peer) seampeer.Peer {
	if p.Name == d.node.self.Name {
		return d.node.self
	}
	p.Incarnation = 0
	return p
}

// Learn does nothing: owners are learned from the table.
func (directory) Learn(string, uint32, seampeer.Peer) {}

// Candidates returns the nodes whose targets serve the service.
func (d directory) Candidates(service string) []seampick.Candidate {
	members := d.node.roll.View().ByService(service)
	candidates := make([]seampick.Candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, seampick.Candidate{
			Peer:     d.anyRun(m.Peer),
			Slots:    m.Target.Slots,
			Draining: m.Leaving || m.Target.Leaving || m.Target.Down,
		})
	}
	return candidates
}

// startServers starts the servers for the target, the platform and operators.
func (n *Node) startServers(c *seamstart.Cleanups, _ Options) error {
	for _, s := range []seamhttp.Config{
		{Listen: n.settings.Announce, Routes: n.adapter.AnnounceRoutes(beside{n}, n.refuseBeat)},
		{Listen: n.settings.Health, Routes: n.adapter.HealthRoutes(n.Ready)},
		{Listen: n.settings.Metrics, Routes: n.operatorRoutes()},
	} {
		_, stop, err := seamhttp.Serve(s)
		if err != nil {
			return err
		}
		c.Add(stop)
	}
	return nil
}

// Ready reports whether the node serves callers.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.book.Current() != nil
}

// Drain stops the node as planned: it tells others, gives its keys away, and returns when
// nothing is in flight. If ctx ends before, the rest is cut and the error says so.
func (n *Node) Drain(ctx context.Context) error {
	return n.drain(ctx, time.Now())
}
