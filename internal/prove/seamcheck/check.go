// Package seamcheck compares what callers were told with what targets ran, and finds
// broken promises: two owners at once, requests that ran twice or in spite of a refusal,
// acknowledged bookings that are gone, and answers that are not whole or not the caller's own.
package seamcheck

import (
	"fmt"
	"sort"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/stand/seamstandtarget"
)

// Evidence is what the checks look at.
type Observations struct {
	// Records are what the callers were told.
	Records []seamcaller.Record
	// Lines are the ledgers of all targets.
	ExecutionLog []seamstandtarget.ExecutionRecord
	// Ended holds the times at which targets were killed, by name.
	ExitTimes map[string]time.Time
	// Present holds the bookings found at the end, by service and key; nil if none were read.
	StoredBookings map[Key][]string
	// Broken are the events by which nodes report that an invariant does not hold.
	InvariantEvents []seamevent.Event
}

// Key is one key of one service.
type Key struct {
	Service string
	Name    string
}

// Violation is one broken promise of those below.
type Violation struct {
	// Promise is one of the names below.
	Kind string `json:"promise"`
	// Detail says what was seen.
	Detail string `json:"detail"`
	// Service and Slot are those concerned, if Service is not empty.
	Service string `json:"service,omitempty"`
	Slot    uint32 `json:"slot,omitempty"`
	// At is the wall-clock time, if it is known.
	At time.Time `json:"at,omitzero"`
}

// Promises that can be broken.
const (
	// Owners means that two targets held a slot at once.
	MultipleOwners = "owners"
	// Twice means that a non-idempotent request ran twice.
	DuplicateExecution = "twice"
	// RefusedRan means that a request ran and its caller was told that it did not.
	RefusedExecuted = "refused"
	// Lost means that an acknowledged booking is gone.
	LostWrite = "lost"
	// Answer means that an answer is not whole or belongs to another request.
	InvalidResponse = "answer"
	// Phantom means that a request was acknowledged and no target ran it.
	PhantomAcknowledgement = "phantom"
	// Stale means that a node ordered a target to hold a slot with a lower epoch than before.
	EpochRegression = "stale"
	// Invariant means that a node itself found an invariant broken.
	InvariantViolated = "invariant"
	// Reverted means that a node applied a lower revision of the rules, or that an accepted change is gone.
	RevisionRegression = "reverted"
	// Force means that a recorded change is not in force at a live node in time.
	NotInForce = "force"
	// NewWork means that a target got new work too long after its node was told to stop.
	WorkAfterStop = "newwork"
	// Stop means that a planned stop failed or cut a request.
	FailedStop = "stop"
)

// Promises lists the promises.
var Kinds = []string{MultipleOwners, DuplicateExecution, RefusedExecuted, LostWrite, InvalidResponse, PhantomAcknowledgement, EpochRegression, InvariantViolated, RevisionRegression, NotInForce, WorkAfterStop, FailedStop}

// All runs every check.
func CheckAll(e Observations) []Violation {
	var found []Violation
	found = append(found, owners(e)...)
	found = append(found, runs(e)...)
	found = append(found, lost(e)...)
	found = append(found, answers(e)...)
	found = append(found, stale(e)...)
	return append(found, invariants(e)...)
}

func invariants(e Observations) []Violation {
	var found []Violation
	for _, x := range e.InvariantEvents {
		found = append(found, Violation{Kind: InvariantViolated, At: x.Time, Detail: fmt.Sprintf("%s: %v", x.Node, x.Fields)})
	}
	return found
}

// Count returns the number of violations of a promise.
func CountKind(list []Violation, promise string) int {
	n := 0
	for _, v := range list {
		if v.Kind == promise {
			n++
		}
	}
	return n
}

// ran counts the runs of each request that were not voided.
func ran(lines []seamstandtarget.ExecutionRecord) map[string]int {
	counts := map[string]int{}
	for _, x := range lines {
		switch x.Kind {
		case seamstandtarget.KindRun:
			counts[x.Request]++
		case seamstandtarget.KindVoid:
			counts[x.Request]--
		}
	}
	return counts
}

func runs(e Observations) []Violation {
	var found []Violation
	counts := ran(e.ExecutionLog)
	for _, x := range e.Records {
		n := counts[x.ID]
		if x.Kind == seamcaller.Book && n > 1 {
			found = append(found, Violation{Kind: DuplicateExecution, At: x.End, Detail: fmt.Sprintf("%s of %s ran %d times", x.ID, x.Key, n)})
		}
		if n < 1 && len(e.ExecutionLog) > 0 && x.Outcome == seamcaller.Done && x.Status == 200 {
			found = append(found, Violation{Kind: PhantomAcknowledgement, At: x.End, Detail: fmt.Sprintf("%s %s was answered by %s and never ran", x.Kind, x.ID, x.Server)})
		}
		if n > 0 && (x.Outcome == seamcaller.Refused || x.Outcome == seamcaller.Unreached) {
			found = append(found, Violation{
				Kind: RefusedExecuted, At: x.End,
				Detail: fmt.Sprintf("%s %s of %s was %s (%s) and ran %d times", x.Kind, x.ID, x.Key, x.Outcome, x.Reason, n),
			})
		}
	}
	return found
}

func lost(e Observations) []Violation {
	if e.StoredBookings == nil {
		return nil
	}
	var found []Violation
	present := map[string]bool{}
	for _, ids := range e.StoredBookings {
		for _, id := range ids {
			present[id] = true
		}
	}
	slots := map[string]uint32{}
	for _, x := range e.ExecutionLog {
		if x.Kind == seamstandtarget.KindRun {
			slots[x.Request] = x.Slot
		}
	}
	for _, x := range e.Records {
		acknowledged := x.Kind == seamcaller.Book && x.Outcome == seamcaller.Done && x.Status == 200
		_, wasRead := e.StoredBookings[Key{Service: x.Service, Name: x.Key}]
		if acknowledged && wasRead && !present[x.ID] {
			found = append(found, Violation{
				Kind: LostWrite, At: x.End, Service: x.Service, Slot: slots[x.ID],
				Detail: fmt.Sprintf("booking %s of %s, acknowledged by %s, is gone", x.ID, x.Key, x.Server),
			})
		}
	}
	return found
}

func answers(e Observations) []Violation {
	var found []Violation
	for _, x := range e.Records {
		if x.Outcome == seamcaller.InvalidResponse {
			found = append(found, Violation{
				Kind: InvalidResponse, At: x.End,
				Detail: fmt.Sprintf("%s %s at %s: status %d, %s", x.Kind, x.ID, x.Node, x.Status, x.Reason),
			})
		}
	}
	return found
}

func stale(e Observations) []Violation {
	var found []Violation
	for _, x := range e.ExecutionLog {
		if x.Kind == seamstandtarget.KindStaleEpoch {
			found = append(found, Violation{
				Kind: EpochRegression, At: time.Unix(0, x.At),
				Detail: fmt.Sprintf("%s was granted %s/%d with epoch %d", x.Server, x.Service, x.Slot, x.Epoch),
			})
		}
	}
	return found
}

func owners(e Observations) []Violation {
	var found []Violation
	for slot, list := range holdings(e) {
		sort.Slice(list, func(i, j int) bool { return list[i].from < list[j].from })
		found = append(found, overlaps(slot, list)...)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].At.Before(found[j].At) })
	return found
}

// overlaps finds the holdings of one slot that begin before an earlier one of another server ended.
func overlaps(slot slotName, list []holding) []Violation {
	var found []Violation
	for i, later := range list {
		for _, earlier := range list[:i] {
			if earlier.server == later.server || earlier.to <= later.from {
				continue
			}
			length := time.Duration(min(earlier.to, later.to) - later.from)
			found = append(found, Violation{
				Kind: MultipleOwners, At: time.Unix(0, later.from), Service: slot.service, Slot: slot.index,
				Detail: fmt.Sprintf("%s/%d was held by %s (epoch %d) and %s (epoch %d) for %s",
					slot.service, slot.index, earlier.server, earlier.epoch, later.server, later.epoch, length),
			})
		}
	}
	return found
}
