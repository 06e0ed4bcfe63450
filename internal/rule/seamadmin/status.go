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

// maxRevisionWait limits the wait of GET /v1/revision.
const maxRevisionWait = 30 * time.Second

// status returns the state of all cells and their nodes.
func (s *Server) status(ctx context.Context, _ call) (any, error) {
	return s.Status.Status(ctx), nil
}

// revision reports which cells have confirmed a revision. It returns as soon as more than
// "known" cells or all cells have confirmed it, or after "wait".
func (s *Server) revision(ctx context.Context, c call) (any, error) {
	query := c.URL.Query()
	revision, err := parseNumber(query.Get("revision"), s.RuleSet.Revision())
	if err != nil {
		return nil, &requestError{Part: "revision", Allowed: "a revision", Cause: err}
	}
	known, err := parseNumber(query.Get("known"), 0)
	if err != nil {
		return nil, &requestError{Part: "known", Allowed: "a number of cells", Cause: err}
	}
	wait, err := parseDuration(query.Get("wait"))
	if err != nil {
		return nil, &requestError{Part: "wait", Allowed: "a duration such as 5s", Cause: err}
	}
	if revision <= s.RuleSet.Revision() {
		s.Confirmer.RequestConfirmation(c.now, revision)
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxRevisionWait))
	defer cancel()
	go s.cancelOnStop(ctx, cancel)
	return s.Confirmer.Wait(ctx, revision, int(known)), nil
}

// cancelOnStop cancels a wait when the server stops.
func (s *Server) cancelOnStop(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-ctx.Done():
	case <-s.stopping:
		cancel()
	}
}

func parseNumber(text string, otherwise int64) (int64, error) {
	if text == "" {
		return otherwise, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// drain makes a node drain. Teams with access to all services may drain any node; others only
// nodes with a target of one of their services.
func (s *Server) drain(ctx context.Context, c call) (any, error) {
	node := c.pathVariable("node")
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

// attest records an operator's confirmation that instances are permanently lost. It affects all
// services of the cell, so the team needs access to all services.
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
	cell := c.pathVariable("cell")
	if err := s.Operations.Attest(ctx, cell, a.Instances); err != nil {
		return nil, err
	}
	return seamapi.OperationResult{Operation: "attest", Subject: cell}, nil
}
