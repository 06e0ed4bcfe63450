package seamnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/rule/seamadmin"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamteam"
)

// adminStop bounds the time for operators' requests in flight when a node stops.
const adminStop = time.Second

func (n *Node) startAdmin(c *cleanups, _ Options) error {
	_, stop, err := seamadmin.Start(seamadmin.Config{
		Address: n.settings.Admin.Listen,
		Teams:   n.teams(),
	}, seamadmin.Parts{
		Book:      n.book,
		Set:       n.rules,
		Confirmer: n.confirmer,
		Targets:   n,
		Status:    n,
		Keys:      n,
		Orders:    orders{node: n},
		Events:    n.stream,
		Metrics:   n.set,
	})
	if err != nil {
		return err
	}
	c.add(func() {
		ctx, cancel := context.WithTimeout(context.Background(), adminStop)
		defer cancel()
		_ = stop(ctx) // what is left is cut with the process
	})
	return nil
}

func (n *Node) teams() []seamteam.Team {
	var teams []seamteam.Team
	for _, t := range n.settings.Admin.Teams {
		team := seamteam.Team{Name: t.Name, Hash: t.Hash, Services: t.Services}
		if len(t.Services) == 0 {
			team.Services = []string{seamteam.AllServices}
		}
		for _, r := range t.Roles {
			team.Roles = append(team.Roles, seamteam.Role(r))
		}
		teams = append(teams, team)
	}
	return teams
}

// Instances returns the instances with a target of the service that this node knows.
func (n *Node) Instances(service string) []seamrule.Instance {
	var instances []seamrule.Instance
	for _, c := range n.keeper.Candidates(service) {
		instances = append(instances, seamrule.Instance{
			Name:   c.Peer.Name,
			Region: c.Peer.Region,
			Domain: c.Peer.Domain,
			Labels: c.Labels,
		})
	}
	return instances
}

// Status returns what this node knows: all cells, and the nodes of its own cell.
func (n *Node) Status(context.Context) seamapi.StatusReport {
	view := n.keeper.View()
	report := seamapi.StatusReport{
		Node:     n.self.Name,
		Revision: n.rules.Revision(),
		Store:    storeStatus(n.store.Health()),
	}
	for _, e := range n.keeper.Records() {
		if !e.Deleted && e.Record.ID != "" && !e.Record.Coordinator.Zero() {
			report.Cells = append(report.Cells, cellStatus(e.Record, view))
		}
	}
	for _, m := range view.Members {
		report.Nodes = append(report.Nodes, n.nodeStatus(m, view))
	}
	return report
}

// Keys returns the keys that this node's target served most.
func (n *Node) Keys(time.Time) seamapi.KeysReport {
	report := seamapi.KeysReport{Node: n.self.Name}
	for _, k := range n.keys.Top(n.clock.Now(), keyLimit) {
		report.Keys = append(report.Keys, seamapi.KeyRate{
			Key:     k.Key,
			Service: k.Slot.Service,
			Slot:    k.Slot.Index,
			Rate:    k.Rate,
			Error:   k.Error,
		})
	}
	return report
}

func storeStatus(h seamstore.Health) seamapi.StoreStatus {
	return seamapi.StoreStatus{Reachable: h.Reachable, Since: h.Since}
}

func cellStatus(r seamcell.Record, view seamcell.View) seamapi.CellStatus {
	s := seamapi.CellStatus{
		Cell:        r.ID,
		Region:      r.Region,
		Epoch:       uint64(r.Epoch),
		Coordinator: r.Coordinator.Name,
		Backup:      r.Backup.Name,
	}
	for _, x := range r.Ranges {
		s.Slots += int(x.Len())
	}
	if r.ID == view.Cell {
		s.Owned, s.Owners = ownersOf(view)
	}
	return s
}

func ownersOf(view seamcell.View) (owned int, owners map[string]int) {
	owners = map[string]int{}
	for _, s := range view.Slots {
		if !s.Owner.Zero() {
			owned++
			owners[s.Owner.Name]++
		}
	}
	return owned, owners
}

func (n *Node) nodeStatus(m seamcell.MemberView, view seamcell.View) seamapi.NodeStatus {
	s := seamapi.NodeStatus{
		Node:     m.Peer.Name,
		Region:   m.Peer.Region,
		Domain:   m.Peer.Domain,
		Cell:     view.Cell,
		Service:  m.Target.Service,
		Revision: m.Applied,
		Load:     m.InFlight,
		Slots:    m.Target.Slots,
		State:    "serving",
	}
	if m.Draining {
		s.State = "draining"
	}
	for _, x := range view.Slots {
		if x.Owner.Same(m.Peer) {
			s.Owned++
		}
	}
	if m.Peer.Same(n.self) {
		s.Queue = n.egress.Load().Queued
		s.Revision = n.rules.Revision()
	}
	return s
}

// orders carries out the orders of operators.
type orders struct {
	node *Node
}

// UnknownNodeError says that no node of that name is known here.
type UnknownNodeError struct {
	Node string
}

// Error names the node.
func (e *UnknownNodeError) Error() string {
	return fmt.Sprintf("node %s is not in the cell of this node; ask a node of its cell", e.Node)
}

// Status is the HTTP status for the operator.
func (e *UnknownNodeError) Status() int { return http.StatusNotFound }

// Drain orders this node, or a node of its cell, to drain.
func (o orders) Drain(ctx context.Context, name string) error {
	if name == o.node.self.Name {
		o.node.order()
		return nil
	}
	to, ok := o.member(name)
	if !ok {
		return &UnknownNodeError{Node: name}
	}
	return o.node.keeper.OrderDrain(ctx, to)
}

func (o orders) member(name string) (seampeer.Peer, bool) {
	for _, m := range o.node.keeper.View().Members {
		if m.Peer.Name == name {
			return m.Peer, true
		}
	}
	return seampeer.Peer{}, false
}

// Attest tells this node that the instances are lost for good.
func (o orders) Attest(_ context.Context, cell string, instances []string) error {
	o.node.keeper.Attest(cell, instances)
	return nil
}

var _ seamkeeper.Orders = (*Node)(nil)

// OrderedDrain takes an order that another node passed on.
func (n *Node) OrderedDrain() { n.order() }
