// Package seamoutcome defines the three outcomes of a request (done, refused,
// unknown), the reasons for them, and the HTTP status returned for each.
package seamoutcome

import (
	"fmt"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamthrottle"
)

// Outcome tells a caller whether the target executed the request.
type Outcome string

// The three outcomes.
const (
	// Done means that the target ran the request and the response is the target's.
	Done Outcome = seamheader.Done
	// Refused means that the request has not run and never will, so that a retry is safe.
	Refused Outcome = seamheader.Refused
	// Unknown means that the request may or may not have run.
	Unknown Outcome = seamheader.Unknown
)

// End describes how an attempt of a request, or the whole request, ended.
type End struct {
	Outcome Outcome
	Reason  Reason
	// Detail explains the reason for operators.
	Detail string
	// Owner is the node that owns the slot of the request's key; zero if unknown. Its name may be empty.
	Owner seampeer.Peer
	// InFlight is the number of requests running or queued at the target's node.
	InFlight int
	// Slots is the maximum number of requests that the target runs concurrently, or 0 if unknown.
	Slots int
	// RetryAfter is the delay after which the caller may retry, or 0.
	RetryAfter time.Duration
	// Ran means that bytes of the request have reached the target, or may have if the outcome is Unknown.
	Ran bool
	// ServiceTime is the mean service time of the target's requests, or 0 if unknown.
	ServiceTime time.Duration
	// ClassServiceTime is the mean service time of requests of the same class, or 0 if unknown.
	ClassServiceTime time.Duration
	// QueueWait is the expected time in the target's queue of a request that arrives now.
	QueueWait time.Duration
	// RulesRevision is the revision of the rules at the target's node, or 0.
	RulesRevision int64
	// Notice is what the target has stated about itself; nil if nothing that matters.
	Notice *seamthrottle.Report
}

// NewRefused returns the End of a request that has not run and never will.
func NewRefused(r Reason, detail string) End {
	return End{Outcome: Refused, Reason: r, Detail: detail}
}

// NewUnknown returns the End of a request that may have run.
func NewUnknown(r Reason, detail string) End {
	return End{Outcome: Unknown, Reason: r, Detail: detail, Ran: true}
}

// NewDone returns the End of a request that the target ran and answered.
func NewDone() End {
	return End{Outcome: Done, Ran: true}
}

// Error reports an End whose outcome is not Done.
type Error struct {
	End End
}

// Error returns the outcome, the reason and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s (%s): %s", e.End.Outcome, e.End.Reason, e.End.Detail)
}
