package seamadmin

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
)

// longestWait bounds the wait of GET /v1/revision.
const longestWait = 30 * time.Second

// status answers with what every cell tells.
func (s *Server) status(ctx context.Context, _ call) (any, error) {
	return s.Status.Status(ctx), nil
}

// revision tells which cells have confirmed a revision. It waits until one more than
// "known" cells have, until all have, or until "wait" is over.
func (s *Server) revision(ctx context.Context, c call) (any, error) {
	query := c.URL.Query()
	revision, err := number(query.Get("revision"), s.RuleSet.Revision())
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
	if revision <= s.RuleSet.Revision() {
		s.Confirmer.RequestConfirmation(c.now, revision)
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

// drain orders a node to drain. Teams of all services may drain any node, others
// those whose service they touch.
func (s *Server) drain(ctx context.Context, c call) (any, error) {
	node := c.variable("node")
	allowed := func(service string) error {
		if c.team.CanAccess(seamauth.AllServices) || service != "" && c.team.CanAccess(service) {
			return nil
		}
		return &seamauth.ForbiddenError{Team: c.team.Name, Role: seamauth.Operate, Service: cmp.Or(service, seamauth.AllServices)}
	}
	if err := s.Operations.Drain(ctx, node, allowed); err != nil {
		return nil, err
	}
	return seamapi.OperationResult{Operation: "drain", Subject: node}, nil
}

// attest takes the operator's word for a loss. It concerns all services of the cell.
func (s *Server) attest(ctx context.Context, c call) (any, error) {
	if !c.team.CanAccess(seamauth.AllServices) {
		return nil, &seamauth.ForbiddenError{Team: c.team.Name, Role: seamauth.Operate, Service: seamauth.AllServices}
	}
	var a seamapi.AttestRequest
	if err := decodeBody(c, &a); err != nil {
		return nil, err
	}
	if len(a.Instances) == 0 || slices.Contains(a.Instances, "") {
		return nil, &requestError{Part: "instances", Allowed: "the names of one or more lost instances"}
	}
	cell := c.variable("cell")
	if err := s.Operations.Attest(ctx, cell, a.Instances); err != nil {
		return nil, err
	}
	return seamapi.OperationResult{Operation: "attest", Subject: cell}, nil
}
