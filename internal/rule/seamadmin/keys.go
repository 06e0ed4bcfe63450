package seamadmin

import (
	"context"
	"fmt"

	"cardamomseam/internal/rule/seamapi"
)

const (
	// defaultKeyCount is the number of keys returned if the request sets no limit.
	defaultKeyCount = 20
	// maxKeyCount is the largest limit that a request may set.
	maxKeyCount = 256
)

// keys returns the most frequently used keys of the services that the team may access.
func (s *Server) keys(_ context.Context, c call) (any, error) {
	limit, err := parseNumber(c.URL.Query().Get("limit"), defaultKeyCount)
	if err != nil || limit < 1 || limit > maxKeyCount {
		return nil, &requestError{Part: "limit", Allowed: fmt.Sprintf("a number from 1 to %d", maxKeyCount), Cause: err}
	}
	report := s.Keys.Keys(c.now)
	shown := []seamapi.KeyRate{}
	for _, k := range report.Keys {
		if len(shown) < int(limit) && c.team.CanAccess(k.Service) {
			shown = append(shown, k)
		}
	}
	report.Keys = shown
	return report, nil
}
