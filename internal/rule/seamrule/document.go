// Package seamrule defines the routing rules of a service: a document, written by operators, whose
// selectors choose the targets of each request. It parses, validates and compiles documents and
// evaluates them for requests.
package seamrule

import "time"

// Document holds the routing rules of one service.
type Document struct {
	// Service is the name of the service.
	Service string `json:"service" yaml:"service"`
	// Keyed configures keys, each of which has one owner; nil for a service without keys.
	Keyed *Keyed `json:"keyed,omitempty" yaml:"keyed,omitempty"`
	// Selectors choose the targets; the most specific one that matches a request applies.
	Selectors []Selector `json:"selectors" yaml:"selectors"`
	// Limits apply where a selector sets none.
	Limits Limits `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Placement weighs the costs of placing slots.
	Placement PlacementWeights `json:"place,omitempty" yaml:"place,omitempty"`
	// Labels are the operator-defined labels of instances, by instance name.
	Labels map[string]map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
}

// Keyed configures where a request carries its key and how keys map to slots.
type Keyed struct {
	// KeySource is the part of a request that holds the key: "header:NAME", "query:NAME" or
	// "path:N" (path segment N, counted from 1).
	KeySource string `json:"key" yaml:"key"`
	// Slots is the number of slots of the service. It can't be changed.
	Slots uint32 `json:"slots" yaml:"slots"`
	// Homes divide the slots among regions, in order and in equal parts. They can't be changed.
	Homes []Home `json:"homes,omitempty" yaml:"homes,omitempty"`
}

// Home assigns the keys with certain prefixes to a preferred region.
type Home struct {
	Region string `json:"region" yaml:"region"`
	// Prefixes are the key prefixes of the region. A key that has none of the homes' prefixes is
	// hashed over all slots.
	Prefixes []string `json:"prefixes,omitempty" yaml:"prefixes,omitempty"`
}

// Selector sends the requests that match its conditions to the targets that match its label expression.
type Selector struct {
	Name  string `json:"name" yaml:"name"`
	Match Match  `json:"match,omitempty" yaml:"match,omitempty"`
	// Targets is a label expression; empty selects every target of the service.
	Targets string `json:"targets,omitempty" yaml:"targets,omitempty"`
	// Weight divides traffic among matching selectors of equal specificity; 0 counts as 1.
	Weight int     `json:"weight,omitempty" yaml:"weight,omitempty"`
	Limits *Limits `json:"limits,omitempty" yaml:"limits,omitempty"`
}

// Match holds the conditions of a selector; an empty field matches everything.
type Match struct {
	// Prefix is a prefix of the key.
	Prefix string `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	// Path is a prefix of the request path.
	Path string `json:"path,omitempty" yaml:"path,omitempty"`
	// Methods are the accepted HTTP methods.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Regions are the accepted regions of the caller.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
}

// Limits bounds the duration, the retries and the queueing of requests.
type Limits struct {
	// DeadlineMillis bounds the duration of a request, in milliseconds; 0 means DefaultDeadline.
	DeadlineMillis int `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// Retries is the number of further attempts for a request that is safe to retry.
	Retries int `json:"retries,omitempty" yaml:"retries,omitempty"`
	// QueueLength is the number of requests that may wait at a target's node; 0 means DefaultQueueLength.
	QueueLength int `json:"queue,omitempty" yaml:"queue,omitempty"`
}

// PlacementWeights weighs the costs of a placement of slots; a weight of 0 means the node's default.
type PlacementWeights struct {
	Imbalance   float64 `json:"imbalance,omitempty" yaml:"imbalance,omitempty"`
	Churn       float64 `json:"churn,omitempty" yaml:"churn,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty" yaml:"unavailable,omitempty"`
}

const (
	// DefaultDeadline is the deadline of a request if the rules set none.
	DefaultDeadline = 2 * time.Second
	// DefaultQueueLength is the queue length at a target's node if the rules set none.
	DefaultQueueLength = 64
)

// Query holds the properties of a request that selectors match.
type Query struct {
	Service string
	Method  string
	Path    string
	// Key is empty for a service without keys.
	Key string
	// Region is the region of the caller's node.
	Region string
	// Random is a random number in [0, 1) that selects among weighted selectors.
	Random float64
}

// LabelMatcher is a condition on the labels of an instance.
type LabelMatcher interface {
	Matches(labels map[string]string) bool
}

// Decision is the routing decision for one request.
type Decision struct {
	// Selector is the name of the selector that matched.
	Selector string
	// Targets selects among the targets of the service.
	Targets LabelMatcher
	// Limits are the limits of the request, with defaults filled in.
	Limits Limits
	// Keyed means that only the owner of Slot may serve the request.
	Keyed bool
	// Slot is the index of the key's slot.
	Slot uint32
	// Key is the request's key, at most MaxKeyBytes long; empty for a service without keys.
	Key string
	// Revision is the revision of the rules that the decision is based on.
	Revision int64
	// Service is the service that executes the request; empty means the one that the caller named.
	Service string
	// Idempotency states whether the request may be executed more than once.
	Idempotency Idempotency
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Objective is the latency objective for the response; 0 means none.
	Objective time.Duration
	// Regions are the regions to which the request may be sent; empty means no restriction.
	Regions []string
}

// Idempotency states whether a request may be executed more than once.
type Idempotency int

const (
	// IdempotencyFromRequest leaves it to the request's method and headers.
	IdempotencyFromRequest Idempotency = iota
	// Idempotent means that the request may be executed more than once.
	Idempotent
	// AtMostOnce means that the request must be executed at most once.
	AtMostOnce
)
