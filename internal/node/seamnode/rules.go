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

// ruleSource fetches rules from other nodes and answers the keeper's questions about them.
type ruleSource struct {
	set      *seamruleset.Set
	sessions *seamsession.Pool
	store    seamstore.Store
}

// Fetch asks the peer for rules later than those in force. A node without rules
// reads the store first: a peer may lag behind what an earlier run of this
// instance had in force.
func (r *ruleSource) Fetch(ctx context.Context, from seampeer.Peer) error {
	if !r.set.Ready() && r.Read(ctx) == nil {
		return nil
	}
	conn, err := r.sessions.Open(ctx, from, seamsession.Rules)
	if err != nil {
		return errors.Wrap(err, "fetch rules")
	}
	defer conn.Close()
	return r.set.Fetch(ctx, conn, r.set.Revision())
}

// Read reads the store's rules.
func (r *ruleSource) Read(ctx context.Context) error {
	_, err := r.set.Load(ctx, r.store)
	return errors.Wrap(err, "read rules")
}

// Labels returns the labels by which selectors choose the instance.
func (r *ruleSource) Labels(service string, peer seampeer.Peer, own map[string]string) map[string]string {
	return r.set.Labels(service, seamrule.Instance{Name: peer.Name, Region: peer.Region, Domain: peer.Domain, Labels: own})
}

// ServeStream answers another node's request for rules.
func (r *ruleSource) ServeStream(ctx context.Context, from seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	_ = r.set.ServeStream(ctx, from, conn) // the asking node repeats a failed request
}

// ruleWatch watches the store's rules while this node coordinates its cell.
type ruleWatch struct {
	set    *seamruleset.Set
	store  seamstore.Store
	keeper *seamkeeper.Keeper
}

// roleInterval is the time between looks at the role of the node.
const roleInterval = 100 * time.Millisecond

func (w *ruleWatch) run(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
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

// hint tells the members of this node's cell, if it coordinates one, of rules that came into
// force here. They would hear of them with their next heartbeats.
func (n *Node) hint(_ time.Time, b seamruleset.Bundle) {
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

// serviceTable tells the keeper about keyed services as the rules change.
type serviceTable struct {
	keeper *seamkeeper.Keeper
	known  map[string]bool
}

// apply is called with each bundle of rules, in order.
func (t *serviceTable) apply(_ time.Time, b seamruleset.Bundle) {
	for _, v := range b.Versions {
		state := serviceState(v)
		if state.Slots == 0 && !t.known[v.Service] {
			continue
		}
		t.known[v.Service] = state.Slots > 0
		t.keeper.Service(state)
	}
	t.keeper.Applied(b.Revision)
}

func serviceState(v seamrule.Version) seamcell.ServiceState {
	state := seamcell.ServiceState{Name: v.Service}
	if v.Deleted || v.Document.Keyed == nil {
		return state
	}
	state.Slots = v.Document.Keyed.Slots
	for _, h := range v.Document.Keyed.Homes {
		state.Homes = append(state.Homes, h.Region)
	}
	state.Deadline = longestDeadline(v.Document)
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
