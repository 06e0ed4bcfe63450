// Package seamcheck compares the responses that callers received with the requests that targets
// executed, and finds violations of the router's guarantees: a slot with two owners, a request that
// ran twice, a request that ran although it was refused, an acknowledged booking that was lost, and
// a response that is truncated or belongs to another request.
package seamcheck

import (
	"fmt"
	"sort"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/stand/seamstandtarget"
)

// Observations is the input of the checks.
type Observations struct {
	// Records are the requests and responses as the callers saw them.
	Records []seamcaller.Record
	// ExecutionLog holds the records of all targets' execution logs.
	ExecutionLog []seamstandtarget.ExecutionRecord
	// ExitTimes maps the names of ended targets to their exit times.
	ExitTimes map[string]time.Time
	// StoredBookings holds the ids of the bookings that were read back after the run, by key. It is
	// nil if no bookings were read.
	StoredBookings map[Key][]string
	// InvariantEvents are the events in which nodes report a violated invariant.
	InvariantEvents []seamevent.Event
}

// Key identifies a key of a service.
type Key struct {
	Service string
	Name    string
}

// Violation is one violation of a guarantee.
type Violation struct {
	// Kind is one of Kinds.
	Kind string `json:"promise"`
	// Detail describes what was observed.
	Detail string `json:"detail"`
	// Service and Slot identify the affected slot. They are unset if Service is empty.
	Service string `json:"service,omitempty"`
	Slot    uint32 `json:"slot,omitempty"`
	// At is the wall-clock time of the violation. It is zero if unknown.
	At time.Time `json:"at,omitzero"`
}

// Kinds of violations.
const (
	// MultipleOwners means that two targets owned a slot at the same time.
	MultipleOwners = "owners"
	// DuplicateExecution means that a non-idempotent request ran more than once.
	DuplicateExecution = "twice"
	// RefusedExecuted means that a request ran although its outcome was Refused or Unreached.
	RefusedExecuted = "refused"
	// LostBooking means that an acknowledged booking was lost.
	LostBooking = "lost"
	// InvalidResponse means that a response is truncated or belongs to another request.
	InvalidResponse = "answer"
	// PhantomAcknowledgement means that a request was acknowledged but no target ran it.
	PhantomAcknowledgement = "phantom"
	// EpochRegression means that a node granted a target a slot with a lower epoch than before.
	EpochRegression = "stale"
	// InvariantViolated means that a node itself reported a violated invariant.
	InvariantViolated = "invariant"
	// RevisionRegression means that a node applied a lower revision of the rules than before, or
	// that an accepted change was lost.
	RevisionRegression = "reverted"
	// NotInForce means that a live node did not apply a recorded rule change in time.
	NotInForce = "force"
	// WorkAfterStop means that a target received new work too long after its node was asked to stop.
	WorkAfterStop = "newwork"
	// FailedStop means that a planned stop failed or interrupted a request.
	FailedStop = "stop"
)

// Kinds lists the kinds of violations.
var Kinds = []string{MultipleOwners, DuplicateExecution, RefusedExecuted, LostBooking, InvalidResponse, PhantomAcknowledgement, EpochRegression, InvariantViolated, RevisionRegression, NotInForce, WorkAfterStop, FailedStop}

// CheckAll returns the violations found in the observations. Experiments report violations of the
// kinds RevisionRegression, NotInForce, WorkAfterStop and FailedStop themselves.
func CheckAll(observations Observations) []Violation {
	var found []Violation
	found = append(found, checkOwners(observations)...)
	found = append(found, checkExecutions(observations)...)
	found = append(found, checkLostWrites(observations)...)
	found = append(found, checkResponses(observations)...)
	found = append(found, checkEpochs(observations)...)
	return append(found, checkInvariants(observations)...)
}

func checkInvariants(observations Observations) []Violation {
	var found []Violation
	for _, x := range observations.InvariantEvents {
		found = append(found, Violation{Kind: InvariantViolated, At: x.Time, Detail: fmt.Sprintf("%s: %v", x.Node, x.Fields)})
	}
	return found
}

// CountKind returns the number of violations of a kind.
func CountKind(list []Violation, kind string) int {
	n := 0
	for _, v := range list {
		if v.Kind == kind {
			n++
		}
	}
	return n
}

// executionCounts returns the number of runs for each request id, without voided runs. A voided run
// was abandoned without any effect.
func executionCounts(executions []seamstandtarget.ExecutionRecord) map[string]int {
	counts := map[string]int{}
	for _, x := range executions {
		switch x.Kind {
		case seamstandtarget.KindRun:
			counts[x.Request]++
		case seamstandtarget.KindVoid:
			counts[x.Request]--
		}
	}
	return counts
}

func checkExecutions(observations Observations) []Violation {
	var found []Violation
	counts := executionCounts(observations.ExecutionLog)
	for _, x := range observations.Records {
		n := counts[x.ID]
		if x.Kind == seamcaller.Book && n > 1 {
			found = append(found, Violation{Kind: DuplicateExecution, At: x.End, Detail: fmt.Sprintf("booking %s of key %s ran %d times", x.ID, x.Key, n)})
		}
		if n < 1 && len(observations.ExecutionLog) > 0 && x.Outcome == seamcaller.Done && x.Status == 200 {
			found = append(found, Violation{Kind: PhantomAcknowledgement, At: x.End, Detail: fmt.Sprintf("%s %s was acknowledged by %s but never ran", x.Kind, x.ID, x.Server)})
		}
		if n > 0 && (x.Outcome == seamcaller.Refused || x.Outcome == seamcaller.Unreached) {
			found = append(found, Violation{
				Kind: RefusedExecuted, At: x.End,
				Detail: fmt.Sprintf("%s %s of key %s had outcome %s (reason: %s) but ran %d times", x.Kind, x.ID, x.Key, x.Outcome, x.Reason, n),
			})
		}
	}
	return found
}

func checkLostWrites(observations Observations) []Violation {
	if observations.StoredBookings == nil {
		return nil
	}
	var found []Violation
	stored := map[string]bool{}
	for _, ids := range observations.StoredBookings {
		for _, id := range ids {
			stored[id] = true
		}
	}
	slots := map[string]uint32{}
	for _, x := range observations.ExecutionLog {
		if x.Kind == seamstandtarget.KindRun {
			slots[x.Request] = x.Slot
		}
	}
	for _, x := range observations.Records {
		acknowledged := x.Kind == seamcaller.Book && x.Outcome == seamcaller.Done && x.Status == 200
		_, keyRead := observations.StoredBookings[Key{Service: x.Service, Name: x.Key}]
		if acknowledged && keyRead && !stored[x.ID] {
			found = append(found, Violation{
				Kind: LostBooking, At: x.End, Service: x.Service, Slot: slots[x.ID],
				Detail: fmt.Sprintf("booking %s of key %s, acknowledged by %s, was lost", x.ID, x.Key, x.Server),
			})
		}
	}
	return found
}

func checkResponses(observations Observations) []Violation {
	var found []Violation
	for _, x := range observations.Records {
		if x.Outcome == seamcaller.InvalidResponse {
			found = append(found, Violation{
				Kind: InvalidResponse, At: x.End,
				Detail: fmt.Sprintf("%s %s at node %s: status %d, %s", x.Kind, x.ID, x.Node, x.Status, x.Reason),
			})
		}
	}
	return found
}

func checkEpochs(observations Observations) []Violation {
	var found []Violation
	for _, x := range observations.ExecutionLog {
		if x.Kind == seamstandtarget.KindStaleEpoch {
			found = append(found, Violation{
				Kind: EpochRegression, At: time.Unix(0, x.At),
				Detail: fmt.Sprintf("%s was granted slot %s/%d with epoch %d after a higher epoch", x.Server, x.Service, x.Slot, x.Epoch),
			})
		}
	}
	return found
}

func checkOwners(observations Observations) []Violation {
	var found []Violation
	for slot, list := range ownerships(observations) {
		sort.Slice(list, func(i, j int) bool { return list[i].from < list[j].from })
		found = append(found, findOverlaps(slot, list)...)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].At.Before(found[j].At) })
	return found
}

// findOverlaps returns a violation for each ownership of a slot that began before an earlier
// ownership by another server ended.
func findOverlaps(slot slotKey, list []ownership) []Violation {
	var found []Violation
	for i, later := range list {
		for _, earlier := range list[:i] {
			if earlier.server == later.server || earlier.to <= later.from {
				continue
			}
			length := time.Duration(min(earlier.to, later.to) - later.from)
			found = append(found, Violation{
				Kind: MultipleOwners, At: time.Unix(0, later.from), Service: slot.service, Slot: slot.index,
				Detail: fmt.Sprintf("slot %s/%d was owned by both %s (epoch %d) and %s (epoch %d) for %s",
					slot.service, slot.index, earlier.server, earlier.epoch, later.server, later.epoch, length),
			})
		}
	}
	return found
}
