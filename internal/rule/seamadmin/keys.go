package seamadmin

import (
	"context"
	"fmt"

	"cardamomseam/internal/rule/seamapi"
)

const (
	// keysShown is the number of keys in an answer unless the caller asks for another.
	defaultKeyCount = 20
	// keysMost is the largest number of keys that a caller may ask for.
	maxKeyCount = 256
)

// keys answers with the most used keys of the services that the team touches.
func (s *Server) keys(_ context.Context, c call) (any, error) {
	limit, err := parseNumber(c.URL.Query().Get("limit"), defaultKeyCount)
	if err != nil || limit < 1 || limit > maxKeyCount {
		return nil, &requestError{Part: "limit", Allowed: fmt.Sprintf("a number from 1 to %d", maxKeyCount), Cause: err}
	}
	report := s.Keys.Keys(c.now)
	shown := []seamapi.KeyRate{}
	for _, k := range report.Keys {
		if len(shown) < int(limit) && c.team.Touches(k.Service) {
			shown = append(shown, k)
		}
	}
	report.Keys = shown
	return report, nil
}
