package seamapi

import (
	"fmt"

	"cardamomseam/internal/rule/seamrule"
)

// Problem is the body of each answer with a status of 400 or more.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Code is one of the codes below.
	Code string `json:"code"`
	Text string `json:"text"`
	// Next says what to do.
	Next string `json:"next,omitempty"`
	// Faults are the faults of a document.
	Faults seamrule.FieldErrors `json:"faults,omitempty"`
	// Conflict tells about the change that won.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Writer identifies a change of unknown outcome.
	Writer string `json:"writer,omitempty"`
}

// Error returns the text and what to do.
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

// Conflict tells about the change that was recorded first.
type Conflict struct {
	// Expect is the revision that was expected, Found the recorded one; 0 means no document.
	Expect int64 `json:"expect"`
	Found  int64 `json:"found"`
	// Author is the team that made the recorded version.
	Author string `json:"author,omitempty"`
	// Theirs is the recorded document and Yours the refused one, as YAML.
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
	// Difference leads from Theirs to Yours, in the unified format.
	Difference string `json:"difference"`
}
