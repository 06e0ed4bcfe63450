package seamingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamresidency"
)

// regionRetryAfter is the Retry-After delay of a request that no target in an allowed region can serve. Keys that must move into an
// allowed region, and configuration changes, take about as long.
const regionRetryAfter = time.Second

// regionCause tells what kept a request from the targets in other regions.
type regionCause string

const (
	// noTargetAllowed means that no allowed region has an available target.
	noTargetAllowed regionCause = "target"
	// ownerForbidden means that the owner of the key is in a forbidden region.
	ownerForbidden regionCause = "owner"
	// hintForbidden means that a node has named an owner in a forbidden region.
	hintForbidden regionCause = "hint"
)

// regionCounters counts the requests that were refused with the reason region, by cause.
type regionCounters map[regionCause]*metrics.Counter

func newRegionCounters(set *metrics.Set) regionCounters {
	c := regionCounters{}
	for _, cause := range []regionCause{noTargetAllowed, ownerForbidden, hintForbidden} {
		c[cause] = set.NewCounter(fmt.Sprintf("cardamomseam_residency_refused_total{cause=%q}", cause))
	}
	return c
}

// restricted reports whether the request may be sent to some regions only.
func (x *exchange) restricted() bool { return len(x.decision.Regions) > 0 }

// isAllowed reports whether the request may be sent to a node in the region of p.
func (x *exchange) isAllowed(p seampeer.Peer) bool {
	return seamresidency.Allows(x.decision.Regions, p.Region)
}

// updateRegions replaces the allowed regions by those of the rules in effect, which may have changed while the request waited. A
// request whose rule was removed keeps its regions.
func (x *exchange) updateRegions() {
	if x.ingress.cfg.Regions == nil {
		return
	}
	if regions, ok := x.ingress.cfg.Regions(x.head.GetHost(), x.head.GetPath()); ok {
		x.decision.Regions = regions
	}
}

// withRegion returns the peer of a restricted request with its region, which a hint may lack. It stays empty if this node does not know
// it.
func (x *exchange) withRegion(p seampeer.Peer) seampeer.Peer {
	if !x.restricted() || p.Region != "" || p.Address == "" {
		return p
	}
	if p.Address == x.ingress.self.Address {
		p.Region = x.ingress.self.Region
		return p
	}
	for _, c := range x.ingress.directory.Candidates(x.service) {
		if c.Peer.Address == p.Address {
			p.Region = c.Peer.Region
			return p
		}
	}
	if owner, ok := x.ingress.directory.Owner(x.service, x.head.GetSlot()); ok && owner.Address == p.Address {
		p.Region = owner.Region
	}
	return p
}

// knownOwner returns the owner that the last response named, or else the one in the directory.
func (x *exchange) knownOwner() (seampeer.Peer, bool) {
	if x.hint.Address != "" {
		return x.withRegion(x.hint), true
	}
	p, ok := x.ingress.directory.Owner(x.service, x.head.GetSlot())
	return x.withRegion(p), ok
}

// regionRefusal returns the refusal of a request for which no node could be chosen because of its regions, and false if that has
// another reason.
func (x *exchange) regionRefusal() (seamoutcome.End, bool) {
	if !x.restricted() {
		return seamoutcome.End{}, false
	}
	if x.decision.Keyed {
		owner, known := x.knownOwner()
		if known && x.isAllowed(owner) {
			return seamoutcome.End{}, false
		}
		if known {
			return x.refuseRegion(ownerForbidden, fmt.Sprintf("the owner of the key is in region %q", owner.Region)), true
		}
	}
	for _, c := range x.ingress.directory.Candidates(x.service) {
		if !c.Draining && x.isAllowed(c.Peer) {
			return seamoutcome.End{}, false
		}
	}
	return x.refuseRegion(noTargetAllowed, "no target of the service is available there"), true
}

func (x *exchange) refuseRegion(cause regionCause, detail string) seamoutcome.End {
	end := seamoutcome.NewRefused(seamoutcome.Region, fmt.Sprintf("allowed regions: %s; %s", seamresidency.Format(x.decision.Regions), detail))
	end.RetryAfter = regionRetryAfter
	x.regionCause = cause
	return end
}

// checkOwnerHint replaces the end of an attempt by a refusal if it names an owner in a forbidden region. An owner whose region is not
// known is removed from it, so that the request is not redirected there.
func (x *exchange) checkOwnerHint(end seamoutcome.End) seamoutcome.End {
	if !x.decision.Keyed || !x.restricted() || end.Outcome != seamoutcome.Refused || end.Owner.Address == "" {
		return end
	}
	end.Owner = x.withRegion(end.Owner)
	switch {
	case x.isAllowed(end.Owner):
		return end
	case end.Owner.Region == "":
		end.Owner = seampeer.Peer{}
		return end
	default:
		return x.refuseRegion(hintForbidden, "the key's node has named an owner in region "+end.Owner.Region)
	}
}

// countRegionRefusal counts the end of a request that was refused because of its regions.
func (x *exchange) countRegionRefusal(end seamoutcome.End) {
	if c := x.ingress.stats.regions[x.regionCause]; c != nil && end.Reason == seamoutcome.Region {
		c.Inc()
	}
}
