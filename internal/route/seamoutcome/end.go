// Package seamoutcome holds the three outcomes of a request, the reasons for
// them and the HTTP status that callers see for each.
package seamoutcome

import (
	"fmt"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamheader"
)

// Outcome is what a caller may conclude from an answer.
type Outcome string

// The three outcomes.
const (
	// Done means that the target ran the request and the answer is its own.
	Done Outcome = seamheader.Done
	// Refused means that the request has not run and never will.
	Refused Outcome = seamheader.Refused
	// Unknown means that the request may or may not have run.
	Unknown Outcome = seamheader.Unknown
)

// End is how one attempt of a request ended.
type End struct {
	Outcome Outcome
	Reason  Reason
	// Detail explains the reason to operators.
	Detail string
	// Owner is the node believed to own the slot; its name may be empty.
	Owner seampeer.Peer
	// InFlight is the number of requests running and waiting at the target's node.
	InFlight int
	// Slots is the number of requests that the target runs at once, or 0 if not known.
	Slots int
	// After is the time after which to retry, or 0.
	RetryAfter time.Duration
	// Ran says that bytes of the request reached the target.
	Ran bool
	// Service is the mean time that the target takes for a request, or 0 if not known.
	ServiceTime time.Duration
	// Work is the mean time that the target takes for a request of the same class, or 0 if not known.
	ClassServiceTime time.Duration
	// Wait is the time that a request that arrives now would wait for its turn.
	QueueWait time.Duration
	// Rules is the revision of the rules at the target's node, or 0.
	RulesRevision int64
}

// Refuse returns the end of a request that has not run.
func NewRefused(r Reason, detail string) End {
	return End{Outcome: Refused, Reason: r, Detail: detail}
}

// Doubt returns the end of a request that may have run.
func NewUnknown(r Reason, detail string) End {
	return End{Outcome: Unknown, Reason: r, Detail: detail, Ran: true}
}

// Finish returns the end of a request that the target ran and answered.
func NewDone() End {
	return End{Outcome: Done, Ran: true}
}

// Error is an end that is not Done, as an error.
type Error struct {
	End End
}

// Error names the outcome, the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s (%s): %s", e.End.Outcome, e.End.Reason, e.End.Detail)
}
