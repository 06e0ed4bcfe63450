package seamnode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
)

// ruleSource fetches rules from other nodes and the store, and serves them to the keeper and other nodes.
type ruleSource struct {
	set      *seamruleset.Set
	sessions *seamsession.Pool
	store    seamstore.Store
}

// Fetch requests from the peer the rules later than those in effect. A node without rules
// reads the store first, because the peer's rules may be older than those that an earlier
// incarnation of this node had in effect.
func (r *ruleSource) Fetch(ctx context.Context, from seampeer.Peer) error {
	if !r.set.Ready() && r.Load(ctx) == nil {
		return nil
	}
	conn, err := r.sessions.Open(ctx, from, seamsession.Rules)
	if err != nil {
		return errors.Wrap(err, "fetch rules")
	}
	defer conn.Close()
	return r.set.Fetch(ctx, conn, r.set.Revision())
}

// Read reads the rules from the store.
func (r *ruleSource) Load(ctx context.Context) error {
	_, err := r.set.Load(ctx, r.store)
	return errors.Wrap(err, "read rules")
}

// Labels returns the labels that selectors match for the instance.
func (r *ruleSource) Labels(service string, peer seampeer.Peer, own map[string]string) map[string]string {
	return r.set.Labels(service, seamrule.Instance{Name: peer.Name, Region: peer.Region, Domain: peer.Domain, Labels: own})
}

// ServeStream answers another node's request for rules.
func (r *ruleSource) ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	_ = r.set.ServeStream(ctx, from, conn) // the requesting node retries a failed request
}

// ruleWatch watches the rules in the store while this node is the coordinator of its cell.
type ruleWatch struct {
	set    *seamruleset.Set
	store  seamstore.Store
	keeper *seamkeeper.Keeper
}

// rolePollInterval is the interval between checks of the node's role.
const rolePollInterval = 100 * time.Millisecond

func (w *ruleWatch) run(ctx context.Context) {
	ticker := time.NewTicker(rolePollInterval)
	defer ticker.Stop()
	var watch sync.WaitGroup
	var stop context.CancelFunc
	for {
		coordinates := w.keeper.View().Role == seamcell.RoleCoordinator
		if coordinates && stop == nil {
			var inner context.Context
			inner, stop = context.WithCancel(ctx)
			watch.Go(func() { _ = w.set.Watch(inner, w.store) })
		}
		if !coordinates && stop != nil {
			stop()
			stop = nil
		}
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			watch.Wait()
			return
		case <-ticker.C:
		}
	}
}

// announceRules notifies the members of this node's cell, if it is the coordinator, of rules that took
// effect here. Otherwise they would learn of them only with their next heartbeats.
func (n *Node) announceRules(_ time.Time, b seamruleset.Bundle) {
	view := n.keeper.View()
	if view.Role != seamcell.RoleCoordinator {
		return
	}
	var members []seampeer.Peer
	for _, m := range view.Members {
		if !m.Peer.Same(n.self) {
			members = append(members, m.Peer)
		}
	}
	n.confirmer.AnnounceRevision(b.Revision, members)
}

// keyedServices updates the keeper's keyed services when the rules change.
type keyedServices struct {
	keeper *seamkeeper.Keeper
	known  map[string]bool
}

// apply is called for each bundle of rules, in order of revision.
func (t *keyedServices) apply(_ time.Time, b seamruleset.Bundle) {
	for _, v := range b.Versions {
		state := serviceState(v)
		if state.Slots == 0 && !t.known[v.Service] {
			continue
		}
		t.known[v.Service] = state.Slots > 0
		t.keeper.UpdateService(state)
	}
	t.keeper.RulesApplied(b.Revision)
}

func serviceState(v seamrule.Version) seamcell.ServiceState {
	state := seamcell.ServiceState{Name: v.Service}
	if v.Deleted || v.Document.Keyed == nil {
		return state
	}
	state.Slots = v.Document.Keyed.Slots
	for _, h := range v.Document.Keyed.Homes {
		state.HomeRegions = append(state.HomeRegions, h.Region)
	}
	state.MaxDeadline = longestDeadline(v.Document)
	return state
}

func longestDeadline(d seamrule.Document) time.Duration {
	longest := time.Duration(d.Limits.DeadlineMillis) * time.Millisecond
	for _, s := range d.Selectors {
		if s.Limits != nil {
			longest = max(longest, time.Duration(s.Limits.DeadlineMillis)*time.Millisecond)
		}
	}
	if longest == 0 {
		return seamrule.DefaultDeadline
	}
	return longest
}
