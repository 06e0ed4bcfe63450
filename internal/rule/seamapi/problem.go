package seamapi

import (
	"fmt"

	"cardamomseam/internal/rule/seamrule"
)

// Problem is the body of every response with a status of 400 or above.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Code is one of the problem codes below.
	Code string `json:"code"`
	Text string `json:"text"`
	// Next advises the user what to do.
	Next string `json:"next,omitempty"`
	// Faults are the validation errors of a document.
	Faults seamrule.FieldErrors `json:"faults,omitempty"`
	// Conflict describes the change that was recorded first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Writer is the idempotency key of a change whose outcome is unknown, for a retry.
	Writer string `json:"writer,omitempty"`
}

// Error returns the text and the advice.
func (p *Problem) Error() string {
	if p.Next == "" {
		return p.Text
	}
	return fmt.Sprintf("%s\n%s", p.Text, p.Next)
}

// Codes of problems.
const (
	CodeInvalid      = "invalid"
	CodeUnauthorized = "unauthorized"
	CodeForbidden    = "forbidden"
	CodeNotFound     = "missing"
	CodeConflict     = "conflict"
	CodeUnavailable  = "unavailable"
	CodeUnknown      = "unknown"
	CodeStale        = "stale"
	CodeInternal     = "internal"
)

// Conflict describes the change that was recorded first when the expected revision is outdated.
type Conflict struct {
	// Expect is the expected revision and Found the recorded one. 0 means no document.
	Expect int64 `json:"expect"`
	Found  int64 `json:"found"`
	// Author is the team that wrote the recorded version.
	Author string `json:"author,omitempty"`
	// Theirs is the recorded document and Yours the rejected one, as YAML.
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
	// Difference is the unified diff from Theirs to Yours.
	Difference string `json:"difference"`
}
