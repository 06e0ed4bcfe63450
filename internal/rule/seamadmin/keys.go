package seamadmin

import (
	"context"
	"fmt"

	"cardamomseam/internal/rule/seamapi"
)

const (
	// keysShown is the number of keys in an answer unless the caller asks for another.
	keysShown = 20
	// keysMost is the largest number of keys that a caller may ask for.
	keysMost = 256
)

// keys answers with the most used keys of the services that the team touches.
func (s *Server) keys(_ context.Context, c call) (any, error) {
	limit, err := number(c.URL.Query().Get("limit"), keysShown)
	if err != nil || limit < 1 || limit > keysMost {
		return nil, &requestError{Part: "limit", Allowed: fmt.Sprintf("a number from 1 to %d", keysMost), Cause: err}
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
