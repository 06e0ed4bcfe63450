// Package seamcaller is an open-loop load generator. It sends requests at a fixed rate, whether
// or not earlier ones have completed, and records each result. Latencies are measured from the
// time at which a request was due, so that slow responses can't hide the delay of later requests
// (coordinated omission).
package seamcaller

import (
	"sync"
	"time"
)

// Kind is the operation that a request asks for.
type Kind string

// Kinds of requests.
const (
	// Book adds a booking to a key. It is not idempotent.
	Book Kind = "book"
	// Read reads the bookings of a key.
	Read Kind = "read"
	// Echo asks for a response of a given size, of which every byte is checked.
	Echo Kind = "echo"
)

// Outcome is what the caller knows about the execution of a request.
type Outcome string

// Outcomes of requests.
const (
	// Done means that the response states this outcome and is complete.
	Done Outcome = "done"
	// Refused means that the response states that the request was not executed.
	Refused Outcome = "refused"
	// Unknown means that the response states this outcome, or that no complete response was
	// received after the request was sent.
	Unknown Outcome = "unknown"
	// Unreached means that no node accepted the connection.
	Unreached Outcome = "unreached"
	// InvalidResponse means that the response states that the request was done, but is truncated
	// or belongs to another request, or that the response states no known outcome.
	InvalidResponse Outcome = "wrong"
)

// Record is one request and its result as the caller saw them.
type Record struct {
	ID      string
	Kind    Kind
	Service string
	Key     string
	// Node is the address of the node that the request was last sent to.
	Node string
	// Server is the name of the target that answered.
	Server  string
	Outcome Outcome
	Status  int
	// Reason is the node's reason for a refusal, or the caller's description of a failure.
	Reason string
	// Due is the time at which the request was scheduled. Start and End are the times at which
	// it was sent and completed.
	Due   time.Time
	Start time.Time
	End   time.Time
	// BookingIDs are the ids of the key's bookings that the response listed.
	BookingIDs []string
}

// Records collects the records of concurrent callers.
type Records struct {
	mu   sync.Mutex
	list []Record
}

// Add adds a record.
func (r *Records) Add(x Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// All returns the records collected so far.
func (r *Records) All() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.list...)
}

// Count returns the number of records by outcome.
func Count(records []Record) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, x := range records {
		counts[x.Outcome]++
	}
	return counts
}
