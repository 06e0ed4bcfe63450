package seamrouter

import (
	"context"
	"net/http"
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/platform/seamhttp"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamretry"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
)

// targetDialTimeout bounds the opening of a connection to the target, which runs on the same machine.
const targetDialTimeout = 250 * time.Millisecond

// startRequests starts the request path: the egress to the target and the ingress for callers.
func (n *Node) startRequests(c *seamstart.Cleanups, _ Options) error {
	n.targets = seamannounce.NewRegistry(announcementTTL, n.sink, targetWatcher{n})
	n.targets.Expect(expectedTarget(n.settings))
	egress, stop := seamegress.New(seamegress.Config{
		DialTimeout:         targetDialTimeout,
		AdmitByObjective:    true,
		Dialect:             n.adapter.Dialect,
		OnConnectionRefused: func(a seamtarget.Announcement) { n.targets.ProcessEnded(time.Now(), a.Name, a.Started) },
		OnTargetLeaving:     func(a seamtarget.Announcement) { n.targets.MarkIncarnationLeaving(time.Now(), a.Name, a.Started) },
		HandoverGrace:       n.settings.Stop.Linger,
		RulesRevision:       n.routes.Revision,
		BodyBufferBytes:     n.maxQueuedBodyBytes(),
		Poison:              n.poison,
		Evacuated:           n.targetEvacuated,
		Warmup:              n.warmup,
		PassOnStatedLoad:    n.settings.Balance.Policy == string(seambalance.Even),
		Guard:               n.guard,
	}, n.self, ownerHints{n.runner, n}, n.targets, n.clock, n.runner, n.metricSet, n.sink)
	n.egress = egress
	assumeCold := egress.AssumeCold
	n.assumeCold.Store(&assumeCold)
	c.Add(stop)
	n.sessions.Register(seamsession.Request, egress)
	n.sessions.Register(seamsession.Void, seamegress.VoidHandler{Egress: egress})
	policy := seambalance.Policy(n.settings.Balance.Policy)
	n.sink.Emit(time.Now(), seamevent.BalancePolicy, seamevent.Fields{"policy": n.settings.Balance.Policy})
	budgets := seamretry.NewWindowBudgets(n.retryLimits)
	n.ingress = seamingress.New(seamingress.Config{
		Address:            n.settings.Ingress,
		Balancer:           seambalance.New(seambalance.Config{Policy: policy}, n.self, n.metricSet),
		Budget:             func(service string) seamingress.Budget { return budgets.For(service) },
		UniqueAttemptIDs:   true,
		OmitOptionalFields: true,
		OwnersComplete:     true,
		OwnersChanged:      n.registry.Changed,
		OnOwnerUnreachable: n.requestTableRead,
		OriginService:      n.originService,
		Middleware:         n.adapter.CallerMiddleware,
		OnRulesRevision:    n.onRoutesRevision,
		BodyLimit:          n.bodyLimit,
		Regions:            n.routes.RequestRegions,
		Poison:             n.poison,
		Guard:              n.guard,
	}, n.self, routeDecider{n}, directory{n}, n.sessions, egress, n.metricSet, n.sink)
	server, err := n.ingress.Serve()
	if err != nil {
		return err
	}
	n.server = server
	c.Add(func() { _ = server.Close() })
	return nil
}

const (
	// bodyMemoryDivisor is the ratio of the node's memory limit to the limit for the bodies of queued requests.
	bodyMemoryDivisor = 16
	// defaultQueuedBodyBytes is the limit for the bodies of queued requests if the node has no memory limit.
	defaultQueuedBodyBytes = 16 << 20
)

// maxQueuedBodyBytes returns the memory limit for the bodies of requests queued for the target.
func (n *Node) maxQueuedBodyBytes() int64 {
	if n.settings.Memory == 0 {
		return defaultQueuedBodyBytes
	}
	return int64(n.settings.Memory) << 20 / bodyMemoryDivisor
}

// bodyLimit returns the largest request body that the routes in effect allow; 0 if they name none.
func (n *Node) bodyLimit() int64 {
	if t := n.routes.Current(); t != nil {
		return t.Limits.MaxBodyBytes
	}
	return 0
}

// retryLimits returns the retry limits of the current settings for the current number of nodes.
func (n *Node) retryLimits() seamretry.Limits {
	r := n.retry.Load()
	return seamretry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window, Nodes: len(n.members.View().Members)}
}

// routeDecider selects the service and the limits of a request by the routes in effect.
type routeDecider struct {
	node *Node
}

// Decide returns the service and the limits for the request q of a caller in the region.
func (r routeDecider) Decide(q *http.Request, service, region string) (seamrule.Decision, error) {
	r.node.feed.SkipSettling()
	decision, err := r.node.routes.Decide(q, service, region)
	if isNoRoute(err) {
		decision, err = r.node.decideCurrent(q, service, region)
	}
	decision.Limits.QueueLength = maxQueuedRequests
	return decision, err
}

// maxQueuedRequests is the maximum number of requests queued for a target.
const maxQueuedRequests = 256

// directory looks up members and key owners for the ingress.
type directory struct {
	node *Node
}

// Owner returns the node whose target holds the key.
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
	return d.withoutIncarnation(peer), ok
}

// withoutIncarnation returns the peer with its incarnation cleared, so that requests also reach the node after a
// restart, when it serves the same target. This node's own peer is returned unchanged.
func (d directory) withoutIncarnation(p seampeer.Peer) seampeer.Peer {
	if p.Name == d.node.self.Name {
		return d.node.self
	}
	p.Incarnation = 0
	return p
}

// Learn does nothing, because Owner looks up the owner tables.
func (directory) Learn(string, uint32, seampeer.Peer) {}

// Candidates returns the nodes whose targets serve the service. The result is the same slice until the members change.
func (d directory) Candidates(service string) []seampick.Candidate {
	return d.node.currentCandidates().byService[service]
}

// startServers starts the HTTP servers for announcements, health checks and operators.
func (n *Node) startServers(c *seamstart.Cleanups, _ Options) error {
	for _, s := range []seamhttp.Config{
		{Listen: n.settings.Announce, Routes: n.adapter.AnnounceRoutes(targetAnnouncements{n}, n.announcementRefused)},
		{Listen: n.settings.Health, Routes: n.adapter.HealthRoutes(n.Ready)},
		{Listen: n.settings.Metrics, Routes: n.operatorRoutes()},
	} {
		s.Guard = n.guard
		_, stop, err := seamhttp.Serve(s)
		if err != nil {
			return err
		}
		c.Add(stop)
	}
	return nil
}

// reportLimit logs that callers have reached a limit.
func (n *Node) reportLimit(now time.Time, l seamguard.Limit, times int) {
	n.sink.Emit(now, seamevent.LimitReached, seamevent.Fields{"limit": string(l), "times": times, "reserved": n.guard.Reserved(), "connections": n.guard.Connections()})
}

// Ready reports whether the node serves callers: it has routes and is not draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.routes.Current() != nil
}

// Drain shuts the node down gracefully: it notifies its peers, releases its keys and returns when
// no request is in flight. If ctx ends first, the remaining requests are aborted and an error is returned.
func (n *Node) Drain(ctx context.Context) error {
	return n.drain(ctx, time.Now())
}
