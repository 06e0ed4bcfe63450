package seamadmin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamconfirm"
	"cardamomseam/internal/rule/seamteam"
)

// longestWait bounds the wait of GET /v1/revision.
const longestWait = 30 * time.Second

// surveyTime bounds the wait for the states of other cells.
const surveyTime = 500 * time.Millisecond

// status answers with what this node knows and what the other cells answer in time.
func (s *Server) status(ctx context.Context, _ call) (any, error) {
	survey, cancel := context.WithTimeout(ctx, surveyTime)
	defer cancel()
	states := s.Confirmer.Survey(survey, s.Set.Revision())
	report := s.Status.Status(ctx)
	for i := range report.Cells {
		if state, ok := states[report.Cells[i].Cell]; ok {
			fill(&report.Cells[i], state)
		}
	}
	return report, nil
}

// fill adds what the cell's coordinator answered.
func fill(c *seamapi.CellStatus, s seamconfirm.CellState) {
	c.Revision = max(c.Revision, s.Confirmed)
	c.Epoch = max(c.Epoch, s.Epoch)
	c.Owned = max(c.Owned, s.Owned)
	c.Reachable = c.Reachable || s.Reachable
	if s.Changed.After(c.Changed) {
		c.Changed = s.Changed
	}
}

// revision tells which cells have confirmed a revision. It waits until one more than
// "known" cells have, until all have, or until "wait" is over.
func (s *Server) revision(ctx context.Context, c call) (any, error) {
	query := c.URL.Query()
	revision, err := number(query.Get("revision"), s.Set.Revision())
	if err != nil {
		return nil, &requestError{Part: "revision", Allowed: "a revision", Cause: err}
	}
	known, err := number(query.Get("known"), 0)
	if err != nil {
		return nil, &requestError{Part: "known", Allowed: "a number of cells", Cause: err}
	}
	wait, err := duration(query.Get("wait"))
	if err != nil {
		return nil, &requestError{Part: "wait", Allowed: "a duration such as 5s", Cause: err}
	}
	if revision <= s.Set.Revision() {
		s.Confirmer.Ask(c.now, revision)
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, longestWait))
	defer cancel()
	go s.cancelOnStop(ctx, cancel)
	return s.Confirmer.Wait(ctx, revision, int(known)), nil
}

// cancelOnStop ends a wait when the server stops.
func (s *Server) cancelOnStop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-s.stopping:
		cancel()
	}
}

func number(text string, otherwise int64) (int64, error) {
	if text == "" {
		return otherwise, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func duration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// drain orders a node to drain. The team must touch the node's service.
func (s *Server) drain(ctx context.Context, c call) (any, error) {
	node := c.variable("node")
	if err := s.mayDrain(ctx, c, node); err != nil {
		return nil, err
	}
	if err := s.Orders.Drain(ctx, node); err != nil {
		return nil, err
	}
	return seamapi.Ordered{Order: "drain", Subject: node}, nil
}

// mayDrain lets teams of all services drain any node, others those whose service they touch.
func (s *Server) mayDrain(ctx context.Context, c call, node string) error {
	if c.team.Touches(seamteam.AllServices) {
		return nil
	}
	for _, n := range s.Status.Status(ctx).Nodes {
		if n.Node == node && n.Service != "" && c.team.Touches(n.Service) {
			return nil
		}
	}
	return &seamteam.ForbiddenError{Team: c.team.Name, Role: seamteam.Operate, Service: "of node " + node}
}

// attest takes the operator's word for a loss. It concerns all services of the cell.
func (s *Server) attest(ctx context.Context, c call) (any, error) {
	if !c.team.Touches(seamteam.AllServices) {
		return nil, &seamteam.ForbiddenError{Team: c.team.Name, Role: seamteam.Operate, Service: seamteam.AllServices}
	}
	var a seamapi.Attest
	if err := decodeBody(c, &a); err != nil {
		return nil, err
	}
	if len(a.Instances) == 0 || slices.Contains(a.Instances, "") {
		return nil, &requestError{Part: "instances", Allowed: "the names of one or more lost instances"}
	}
	cell := c.variable("cell")
	if err := s.Orders.Attest(ctx, cell, a.Instances); err != nil {
		return nil, err
	}
	return seamapi.Ordered{Order: "attest", Subject: cell}, nil
}
