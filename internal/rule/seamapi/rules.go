// Package seamapi holds the bodies of the administration API.
package seamapi

import (
	"time"

	"cardamomseam/internal/rule/seamrule"
)

// Headers of the administration API besides the standard ones.
const (
	// Writer identifies a change; repeating a change with the same one has no effect.
	WriterHeader = "Seam-Request"
)

// Sources of a page.
const (
	// FromStore means that the page was read from the store.
	SourceStore = "store"
	// FromMemory means that the store could not be reached and the page shows what is in force at the node.
	SourceMemory = "memory"
)

// Item is one service in the list of rules.
type RuleSummary struct {
	Service string `json:"service"`
	// Revision is the revision in force at the answering node.
	Revision  int64 `json:"revision"`
	Keyed     bool  `json:"keyed"`
	Selectors int   `json:"selectors"`
}

// Listing is the answer to GET /v1/rules.
type RuleList struct {
	// Revision is that of the whole set in force at the answering node.
	Revision int64         `json:"revision"`
	Rules    []RuleSummary `json:"rules"`
}

// Page is the answer to GET /v1/rules/SERVICE.
type RuleResponse struct {
	Service  string            `json:"service"`
	Revision int64             `json:"revision"`
	Document seamrule.Document `json:"document"`
	// Text is the document as YAML.
	Text string `json:"text"`
	// Author and Time are those of the last change; empty if read from memory.
	Author string     `json:"author,omitempty"`
	Time   *time.Time `json:"time,omitempty"`
	// Source is FromStore or FromMemory.
	Source string `json:"source"`
}

// Recorded is the answer to a change. The change is recorded, but accepted only
// once every live cell confirms its revision.
type ChangeResult struct {
	Service string `json:"service"`
	// Revision is the revision of the change, Before the one it replaced.
	Revision int64  `json:"revision"`
	Before   int64  `json:"before"`
	Writer   string `json:"writer"`
	// Warnings are likely mistakes in the document.
	Warnings []seamrule.Warning `json:"warnings,omitempty"`
}

// Labels is the body of PUT /v1/rules/SERVICE/labels/INSTANCE.
type LabelsRequest struct {
	Labels map[string]string `json:"labels"`
}

// Change is one entry of a history.
type Change struct {
	Number   int       `json:"number"`
	Revision int64     `json:"revision"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	Writer   string    `json:"writer"`
	// Action is set, delete or label.
	Action string `json:"action"`
	// Text is the version as YAML, or empty if it is no longer kept.
	Text string `json:"text,omitempty"`
}

// History is the answer to GET /v1/rules/SERVICE/history, latest change first.
type History struct {
	Service string   `json:"service"`
	Changes []Change `json:"changes"`
}

// Try is the body of POST /v1/try: a dry run that changes nothing.
type TryRequest struct {
	// Service names the document in force; it is needed without Document.
	Service string `json:"service,omitempty"`
	// Document is a document as YAML or JSON to try instead.
	Document string `json:"document,omitempty"`
	// Request is the request to try, or nil to check the document only.
	Request *Request `json:"request,omitempty"`
}

// Request is a request to try.
type Request struct {
	Method string `json:"method"`
	// Path is the path with its query.
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	// Region is the region of the caller.
	Region string `json:"region,omitempty"`
}

// Tried is the answer to Try.
type TryResult struct {
	Service  string             `json:"service"`
	Warnings []seamrule.Warning `json:"warnings,omitempty"`
	// Trial is what the request would meet, or nil if there was none or it would be refused.
	Trial *seamrule.TryResult `json:"trial,omitempty"`
	// Refusal is what the caller would be told, or nil.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Difference leads from the document in force to the tried one, in the unified format.
	Difference string `json:"difference,omitempty"`
}

// Refusal is the answer to a caller whose request is refused.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Text   string `json:"text"`
}
