package seamnode

import (
	"context"
	"time"

	"cardamomseam/internal/node/seamstart"
	"cardamomseam/internal/own/seamkeeper"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/rule/seamadmin"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamrule"
)

// adminStopTimeout bounds the wait for operators' requests in flight when a node stops.
const adminStopTimeout = time.Second

func (n *Node) startAdmin(c *seamstart.Cleanups, _ Options) error {
	_, stop, err := seamadmin.Start(seamadmin.Config{
		Address: n.settings.Admin.Listen,
		Teams:   n.teams(),
	}, seamadmin.Dependencies{
		RuleStore:  n.ruleStore,
		RuleSet:    n.rules,
		Confirmer:  n.confirmer,
		Targets:    n,
		Status:     n,
		Keys:       n,
		Operations: operatorCommands{node: n},
		Events:     n.stream,
		Metrics:    n.metricSet,
	})
	if err != nil {
		return err
	}
	c.Add(func() {
		ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
		defer cancel()
		_ = stop(ctx) // requests that remain are aborted when the process exits
	})
	return nil
}

func (n *Node) teams() []seamauth.Team {
	var teams []seamauth.Team
	for _, t := range n.settings.Admin.Teams {
		team := seamauth.Team{Name: t.Name, Hash: t.Hash, Services: t.Services}
		if len(t.Services) == 0 {
			team.Services = []string{seamauth.AllServices}
		}
		for _, r := range t.Roles {
			team.Roles = append(team.Roles, seamauth.Role(r))
		}
		teams = append(teams, team)
	}
	return teams
}

// Instances returns the known instances whose targets serve the service.
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

// Status queries every cell and reports the state of the cells and their nodes.
func (n *Node) Status(ctx context.Context) seamapi.StatusReport {
	report := seamapi.StatusReport{
		Node:     n.self.Name,
		Revision: n.rules.Revision(),
		Store:    storeStatus(n.store.Health()),
	}
	for _, r := range n.keeper.Survey(ctx) {
		report.Cells = append(report.Cells, cellStatus(r))
		for _, m := range r.Members {
			report.Nodes = append(report.Nodes, n.nodeStatus(m, r.Record.ID))
		}
	}
	return report
}

// Keys returns the keys with the highest request rates at this node's target.
func (n *Node) Keys(time.Time) seamapi.KeysReport {
	report := seamapi.KeysReport{Node: n.self.Name}
	for _, k := range n.keyUsage.Top(n.clock.Now(), maxCountedKeys) {
		report.Keys = append(report.Keys, seamapi.KeyRate{
			Key:      k.Key,
			Service:  k.Slot.Service,
			Slot:     k.Slot.Index,
			Rate:     k.Rate,
			MaxError: k.MaxError,
		})
	}
	return report
}

func storeStatus(h seamstore.Health) seamapi.StoreStatus {
	return seamapi.StoreStatus{Reachable: h.Reachable, Since: h.Since}
}

func cellStatus(r seamkeeper.CellReport) seamapi.CellStatus {
	s := seamapi.CellStatus{
		Cell:        r.Record.ID,
		Region:      r.Record.Region,
		AnsweredBy:  r.AnsweredBy,
		Epoch:       uint64(r.Record.Epoch),
		Coordinator: r.Record.Coordinator.Name,
		Backup:      r.Record.Backup.Name,
	}
	if r.Fault != nil {
		s.Fault = r.Fault.Error()
	}
	for _, x := range r.Record.Ranges {
		s.Slots += int(x.Len())
	}
	if r.AnsweredBy == "" {
		return s
	}
	s.Revision, s.Epoch = r.ConfirmedRules, uint64(r.Epoch)
	s.Coordinator, s.Backup = r.Coordinator, r.Backup
	s.Slots, s.Owned, s.Owners = r.Slots, r.OwnedSlots, ownedSlots(r.Members)
	s.ChangedAt, s.Reachable = r.ChangedAt, r.StoreReachable
	return s
}

func ownedSlots(members []seamkeeper.MemberReport) map[string]int {
	owners := map[string]int{}
	for _, m := range members {
		if m.OwnedSlots > 0 {
			owners[m.Peer.Name] = m.OwnedSlots
		}
	}
	return owners
}

func (n *Node) nodeStatus(m seamkeeper.MemberReport, cell string) seamapi.NodeStatus {
	s := seamapi.NodeStatus{
		Node:     m.Peer.Name,
		Region:   m.Peer.Region,
		Domain:   m.Peer.Domain,
		Cell:     cell,
		Service:  m.Service,
		Revision: m.AppliedRules,
		Load:     m.InFlight,
		Slots:    m.Concurrency,
		Owned:    m.OwnedSlots,
		State:    "serving",
	}
	if m.Draining {
		s.State = "draining"
	}
	if m.Peer.Same(n.self) {
		queued := n.egress.Load().Queued
		s.Queue = &queued
		s.Revision = n.rules.Revision()
	}
	return s
}

// operatorCommands implements seamadmin.Operations.
type operatorCommands struct {
	node *Node
}

// Drain starts a drain of the named node, which may be this node or a node of any cell, if allowed permits it for
// the service of the node's target.
func (c operatorCommands) Drain(ctx context.Context, name string, allowed func(service string) error) error {
	if name == c.node.self.Name {
		target, _ := c.node.targets.Current()
		if err := allowed(target.Service); err != nil {
			return err
		}
		c.node.requestDrain()
		return nil
	}
	found, locateErr := c.node.keeper.Locate(ctx, name)
	if err := allowed(found.Service); err != nil {
		return err
	}
	if locateErr != nil {
		return locateErr
	}
	return c.node.keeper.RequestDrain(ctx, found.Peer)
}

// Attest records the operator's confirmation that the instances are permanently lost.
func (c operatorCommands) Attest(ctx context.Context, cell string, instances []string) error {
	return c.node.keeper.Attest(ctx, cell, instances)
}

var _ seamkeeper.DrainHandler = (*Node)(nil)

// HandleDrainRequest starts a drain that an operator requested through another node.
func (n *Node) HandleDrainRequest() { n.requestDrain() }
