package seampoison

import (
	"context"
	"time"
)

// Guard decides about the requests of a node.
type Guard struct {
	*Table
	// Begin writes the record of a trial to the store, if the one there has the expected revision.
	Begin func(ctx context.Context, r Record, expected int64) error
}

// Admit reports whether a request may be sent to a target, and whether that is a trial, which may be sent once only. Of all nodes
// that ask for a trial at a time, one succeeds.
func (g *Guard) Admit(ctx context.Context, now time.Time, k Key, d Description) (v Verdict, trial bool) {
	v = g.Check(now, k)
	if !v.TrialDue || g.Begin == nil {
		return v, false
	}
	r, expected := g.Trial(k)
	if r.Path == "" {
		r.Description = d
	}
	if g.Begin(ctx, r, expected) != nil {
		return v, false // another node has begun the trial, or the store does not answer
	}
	return v, true
}
