// Package seamcaller sends requests at a steady rate, whether or not earlier ones have been
// answered, and records what each caller was told. Latencies count from the time at which
// a request was due, so that slow answers can't hide the wait of later requests.
package seamcaller

import (
	"sync"
	"time"
)

// Kind is what a request asks for.
type Kind string

// Kinds of requests.
const (
	// Book is a non-idempotent booking of a key.
	Book Kind = "book"
	// Read reads the bookings of a key.
	Read Kind = "read"
	// Echo asks for an answer of a given size, whose every byte is checked.
	Echo Kind = "echo"
)

// Outcome is what the caller knows about a request.
type Outcome string

// Outcomes of requests.
const (
	// Done means that the answer says so and is whole.
	Done Outcome = "done"
	// Refused means that the answer says that the request was not run.
	Refused Outcome = "refused"
	// Unknown means that the answer says so, or that none came after the request was sent.
	Unknown Outcome = "unknown"
	// Unreached means that no node took the connection.
	Unreached Outcome = "unreached"
	// Wrong means that the answer claims to be done and is not the whole answer to this request.
	InvalidResponse Outcome = "wrong"
)

// Record is one request as its caller saw it.
type Record struct {
	ID      string
	Kind    Kind
	Service string
	Key     string
	// Node is the address of the node that was asked.
	Node string
	// Server is the target that answered.
	Server  string
	Outcome Outcome
	Status  int
	// Reason is the node's word for a refusal, or the caller's for a failure.
	Reason string
	// Due is the time at which the request was to be sent; Start and End are real times.
	Due   time.Time
	Start time.Time
	End   time.Time
	// IDs are the bookings of the key that the answer told.
	BookingIDs []string
}

// Records collects the records of many callers.
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

// All returns the records so far.
func (r *Records) All() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.list...)
}

// Count returns the number of records of each outcome.
func Count(records []Record) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, x := range records {
		counts[x.Outcome]++
	}
	return counts
}
