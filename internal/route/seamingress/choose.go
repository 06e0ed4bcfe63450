package seamingress

import (
	"slices"
	"strings"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

// choose returns the node for the next attempt.
func (x *exchange) choose() (seampeer.Peer, bool) {
	if x.choice.Keyed {
		return x.owner()
	}
	i := x.ingress
	all := i.directory.Candidates(x.service)
	if x.named != "" && !x.head.GetIdempotent() {
		c, ok := i.picker.PickByHash(x.named, x.region(all), all, x.choice.Targets, x.wasLeft)
		return c.Peer, ok
	}
	return x.pick(all, x.choice.Targets)
}

// pick prefers nodes that were not tried.
func (x *exchange) pick(all []seampick.Candidate, targets seampick.LabelMatcher) (seampeer.Peer, bool) {
	now := time.Now()
	if x.ingress.cfg.Chooser != nil {
		return x.pickWorth(now, all)
	}
	c, ok := x.ingress.picker.Pick(now, all, targets, x.wasTried)
	if !ok && len(x.tried) > 0 {
		c, ok = x.ingress.picker.Pick(now, all, targets, x.wasLeft)
	}
	return c.Peer, ok
}

// pickWorth leaves the choice to the chooser.
func (x *exchange) pickWorth(now time.Time, all []seampick.Candidate) (seampeer.Peer, bool) {
	q := seambalance.Query{Class: x.head.GetClass(), Bytes: x.body.length, Objective: x.objective.Sub(now), Deadline: x.deadline.Sub(now)}
	if x.objective.IsZero() {
		q.Objective = 0
	}
	c, ok := x.ingress.cfg.Chooser.Pick(now, all, q, x.wasTried)
	if !ok && len(x.tried) > 0 {
		c, ok = x.ingress.cfg.Chooser.Pick(now, all, q, x.wasLeft)
	}
	return c.Peer, ok
}

// region returns the region in which duplicates of a named request meet: that
// of the id's prefix "REGION/", else the own one, else the first by name.
func (x *exchange) region(all []seampick.Candidate) string {
	prefix, _, _ := strings.Cut(x.named, "/")
	own, first := false, ""
	for _, c := range all {
		region := c.Peer.Region
		if region == prefix {
			return prefix
		}
		own = own || region == x.ingress.self.Region
		if first == "" || region < first {
			first = region
		}
	}
	if own {
		return x.ingress.self.Region
	}
	return first
}

// owner returns the node believed to own the key. If none is known, any node of
// the service is asked, which names the owner.
func (x *exchange) owner() (seampeer.Peer, bool) {
	if x.hint.Address != "" {
		return x.hint, true
	}
	i := x.ingress
	if p, ok := i.directory.Owner(x.service, x.head.GetSlot()); ok && !x.wasLeft(p) {
		return p, true
	}
	if i.cfg.OwnersComplete {
		return seampeer.Peer{}, false
	}
	return x.pick(i.directory.Candidates(x.service), nil)
}

func (x *exchange) wasLeft(p seampeer.Peer) bool {
	return slices.ContainsFunc(x.left, p.Same)
}

func (x *exchange) wasTried(p seampeer.Peer) bool {
	return x.wasLeft(p) || slices.ContainsFunc(x.tried, p.Same)
}
