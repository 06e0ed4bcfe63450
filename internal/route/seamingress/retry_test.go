package seamingress_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
)

// The owner of a hot key refuses most of its requests. One that asks the same owner again before it has room is refused
// again, later.
func TestFullOwnerIsNotAskedAgainBeforeItHasRoom(t *testing.T) {
	const soon, later = 100 * time.Millisecond, 600 * time.Millisecond
	for name, tt := range map[string]struct {
		keyed      bool
		reason     seamoutcome.Reason
		retryAfter time.Duration
		want       bool
	}{
		"owner full for a while":    {true, seamoutcome.Late, later, false},
		"its queue full":            {true, seamoutcome.Full, later, false},
		"owner has room soon":       {true, seamoutcome.Late, soon, true},
		"another target may run it": {false, seamoutcome.Late, later, true},
		"owner changes":             {true, seamoutcome.Owner, later, true},
	} {
		n := newNode(t, "one", nil)
		end := seamoutcome.NewRefused(tt.reason, "")
		end.RetryAfter = tt.retryAfter
		if got := seamingress.SpendsRetry(n.ingress, tt.keyed, end); got != tt.want {
			t.Errorf("%s: retried %t, want %t", name, got, tt.want)
		}
	}
}
