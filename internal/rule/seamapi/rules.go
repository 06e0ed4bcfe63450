// Package seamapi defines the request and response bodies and the error codes of the
// administration API.
package seamapi

import (
	"time"

	"cardamomseam/internal/rule/seamrule"
)

// Non-standard headers of the administration API.
const (
	// WriterHeader carries the idempotency key of a change. A change with a known key is not
	// recorded again.
	WriterHeader = "Seam-Request"
)

// Sources of a RuleResponse.
const (
	// SourceStore means that the document was read from the store.
	SourceStore = "store"
	// SourceMemory means that the store was unreachable or stale, and the document is the one in
	// force at the node.
	SourceMemory = "memory"
)

// RuleSummary summarizes the rules of one service.
type RuleSummary struct {
	Service string `json:"service"`
	// Revision is the revision in force at the node that received the request.
	Revision  int64 `json:"revision"`
	Keyed     bool  `json:"keyed"`
	Selectors int   `json:"selectors"`
}

// RuleList is the response to GET /v1/rules.
type RuleList struct {
	// Revision is the revision of the complete rule set in force at the node that received the request.
	Revision int64         `json:"revision"`
	Rules    []RuleSummary `json:"rules"`
}

// RuleResponse is the response to GET /v1/rules/SERVICE.
type RuleResponse struct {
	Service  string            `json:"service"`
	Revision int64             `json:"revision"`
	Document seamrule.Document `json:"document"`
	// Text is the document as YAML.
	Text string `json:"text"`
	// Author and Time are those of the last change. They are empty if Source is SourceMemory.
	Author string     `json:"author,omitempty"`
	Time   *time.Time `json:"time,omitempty"`
	// Source is SourceStore or SourceMemory.
	Source string `json:"source"`
}

// ChangeResult is the response to a change. The change is recorded, but it is accepted only
// when every live cell has confirmed its revision.
type ChangeResult struct {
	Service string `json:"service"`
	// Revision is the revision of the change and Before the one that it replaced.
	Revision int64  `json:"revision"`
	Before   int64  `json:"before"`
	Writer   string `json:"writer"`
	// Warnings point out likely mistakes in the document.
	Warnings []seamrule.Warning `json:"warnings,omitempty"`
}

// LabelsRequest is the body of PUT /v1/rules/SERVICE/labels/INSTANCE.
type LabelsRequest struct {
	Labels map[string]string `json:"labels"`
}

// Change is one entry of a service's history.
type Change struct {
	Number   int       `json:"number"`
	Revision int64     `json:"revision"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Writer   string    `json:"writer"`
	// Action is set, delete or label.
	Action string `json:"action"`
	// Text is the version as YAML, or empty if it is no longer retained.
	Text string `json:"text,omitempty"`
}

// History is the response to GET /v1/rules/SERVICE/history, latest change first.
type History struct {
	Service string   `json:"service"`
	Changes []Change `json:"changes"`
}

// TryRequest is the body of POST /v1/try, a dry run that changes nothing.
type TryRequest struct {
	// Service selects the document in force. It is required without Document.
	Service string `json:"service,omitempty"`
	// Document is the document to evaluate instead, as YAML or JSON.
	Document string `json:"document,omitempty"`
	// Request is the request to route, or nil to check the document only.
	Request *Request `json:"request,omitempty"`
}

// Request is the request that a dry run routes.
type Request struct {
	Method string `json:"method"`
	// Path is the path including the query.
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	// Region is the region of the caller.
	Region string `json:"region,omitempty"`
}

// TryResult is the response to TryRequest.
type TryResult struct {
	Service  string             `json:"service"`
	Warnings []seamrule.Warning `json:"warnings,omitempty"`
	// Trial is the routing decision for the request. It is nil without a request, or if the request
	// would be refused.
	Trial *seamrule.TryResult `json:"trial,omitempty"`
	// Refusal is the response that the caller would get if the request would be refused, else nil.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Difference is the unified diff from the document in force to the evaluated one.
	Difference string `json:"difference,omitempty"`
}

// Refusal describes the response to a caller whose request is refused.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Text   string `json:"text"`
}
