package seamingress

import (
	"slices"
	"strings"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

// chooseNode returns the node for the next attempt, and false if there is none.
func (x *exchange) chooseNode() (seampeer.Peer, bool) {
	if x.decision.Keyed {
		return x.owner()
	}
	i := x.ingress
	all := i.directory.Candidates(x.service)
	if x.callerRequestID != "" && !x.head.GetIdempotent() {
		c, ok := i.picker.PickByHash(x.callerRequestID, x.dedupRegion(all), all, x.decision.Targets, x.isExcluded)
		return c.Peer, ok
	}
	return x.pick(all, x.decision.Targets)
}

// pick load-balances between the candidates. Nodes that were tried already are a fallback.
func (x *exchange) pick(all []seampick.Candidate, targets seampick.LabelMatcher) (seampeer.Peer, bool) {
	now := time.Now()
	if x.ingress.cfg.Balancer != nil {
		return x.pickWithBalancer(now, all)
	}
	c, ok := x.ingress.picker.Pick(now, all, targets, x.isTriedOrExcluded)
	if !ok && len(x.tried) > 0 {
		c, ok = x.ingress.picker.Pick(now, all, targets, x.isExcluded)
	}
	return c.Peer, ok
}

// pickWithBalancer picks a candidate with the configured Balancer. Nodes that were tried already are a fallback.
func (x *exchange) pickWithBalancer(now time.Time, all []seampick.Candidate) (seampeer.Peer, bool) {
	q := seambalance.Query{Class: x.head.GetClass(), Bytes: x.body.length, Objective: x.objective.Sub(now), Deadline: x.deadline.Sub(now)}
	if x.objective.IsZero() {
		q.Objective = 0
	}
	c, ok := x.ingress.cfg.Balancer.Pick(now, all, q, x.isTriedOrExcluded)
	if !ok && len(x.tried) > 0 {
		c, ok = x.ingress.cfg.Balancer.Pick(now, all, q, x.isExcluded)
	}
	return c.Peer, ok
}

// dedupRegion returns the region in which duplicates of a request with a caller-chosen id are detected:
// the region in the id's prefix "REGION/", else this node's region, else the first by name; each only if it has
// candidates and is allowed.
func (x *exchange) dedupRegion(all []seampick.Candidate) string {
	prefix, _, _ := strings.Cut(x.callerRequestID, "/")
	hasOwn, first := false, ""
	for _, c := range all {
		region := c.Peer.Region
		if !x.isAllowed(c.Peer) {
			continue
		}
		if region == prefix {
			return prefix
		}
		hasOwn = hasOwn || region == x.ingress.self.Region
		if first == "" || region < first {
			first = region
		}
	}
	if hasOwn {
		return x.ingress.self.Region
	}
	return first
}

// owner returns the known owner of the key. If there is none, it picks any node of
// the service, which responds with the owner.
func (x *exchange) owner() (seampeer.Peer, bool) {
	i := x.ingress
	x.recordedOwner, _ = i.directory.Owner(x.service, x.head.GetSlot())
	p, known := x.knownOwner()
	if known && !x.isAllowed(p) {
		return seampeer.Peer{}, false
	}
	if known && (x.hint.Address != "" || !x.isExcluded(p)) {
		return p, true
	}
	if i.cfg.OwnersComplete {
		return seampeer.Peer{}, false
	}
	return x.pick(i.directory.Candidates(x.service), nil)
}

// isExcluded reports whether the node must not be tried: it is in a forbidden region, or has refused the request.
func (x *exchange) isExcluded(p seampeer.Peer) bool {
	return !x.isAllowed(p) || slices.ContainsFunc(x.excluded, p.Same)
}

// isTriedOrExcluded reports whether the node was tried or must not be tried again.
func (x *exchange) isTriedOrExcluded(p seampeer.Peer) bool {
	return x.isExcluded(p) || slices.ContainsFunc(x.tried, p.Same)
}
