// Package seamrule holds the operators' documents: one per service, with the
// selectors that say which traffic goes to which targets.
package seamrule

import "time"

// Document is what operators write for one service.
type Document struct {
	// Service is the name of the service.
	Service string `json:"service" yaml:"service"`
	// Keyed says that each key has one owner; nil for a service without keys.
	Keyed *Keyed `json:"keyed,omitempty" yaml:"keyed,omitempty"`
	// Selectors are tried in order of precedence.
	Selectors []Selector `json:"selectors" yaml:"selectors"`
	// Limits apply where a selector states none.
	Limits Limits `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Place weighs the placement of slots.
	Placement PlacementWeights `json:"place,omitempty" yaml:"place,omitempty"`
	// Labels are added by operators to instances, by instance name.
	Labels map[string]map[string]string `json:"labels,omitempty" yaml:"labels,omitempty"`
}

// Keyed describes how keys are found and divided.
type Keyed struct {
	// Key says where the key stands: "header:NAME", "query:NAME" or "path:N" (segment N, from 1).
	KeySource string `json:"key" yaml:"key"`
	// Slots is the number of slots of the service. It cannot change.
	Slots uint32 `json:"slots" yaml:"slots"`
	// Homes divide the slots among regions, in order, in equal parts. They cannot change.
	Homes []Home `json:"homes,omitempty" yaml:"homes,omitempty"`
}

// Home names the region in which keys are owned by preference.
type Home struct {
	Region string `json:"region" yaml:"region"`
	// Prefixes of the keys at home there. A key without a home is hashed over all slots.
	Prefixes []string `json:"prefixes,omitempty" yaml:"prefixes,omitempty"`
}

// Selector says which traffic goes to which targets.
type Selector struct {
	Name  string `json:"name" yaml:"name"`
	Match Match  `json:"match,omitempty" yaml:"match,omitempty"`
	// Targets is a label expression; empty selects every target of the service.
	Targets string `json:"targets,omitempty" yaml:"targets,omitempty"`
	// Weight divides traffic among selectors that match equally well; 0 counts as 1.
	Weight int     `json:"weight,omitempty" yaml:"weight,omitempty"`
	Limits *Limits `json:"limits,omitempty" yaml:"limits,omitempty"`
}

// Match holds the conditions of a selector; an empty field matches everything.
type Match struct {
	// Prefix is a prefix of the key.
	Prefix string `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	// Path is a prefix of the request's path.
	Path string `json:"path,omitempty" yaml:"path,omitempty"`
	// Methods are HTTP methods.
	Methods []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	// Regions are regions of the caller.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
}

// Limits bound requests.
type Limits struct {
	// Deadline is the longest time for a request, in milliseconds; 0 means DefaultDeadline.
	DeadlineMillis int `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// Retries is the number of further attempts of a request that is safe to repeat.
	Retries int `json:"retries,omitempty" yaml:"retries,omitempty"`
	// Queue is the number of requests that may wait at a target's node; 0 means DefaultQueue.
	QueueLength int `json:"queue,omitempty" yaml:"queue,omitempty"`
}

// Place weighs the costs of placement; zero weights take the defaults of the node.
type PlacementWeights struct {
	Imbalance   float64 `json:"imbalance,omitempty" yaml:"imbalance,omitempty"`
	Churn       float64 `json:"churn,omitempty" yaml:"churn,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty" yaml:"unavailable,omitempty"`
}

const (
	// DefaultDeadline is the deadline of a request whose rule states none.
	DefaultDeadline = 2 * time.Second
	// DefaultQueue is the queue length at a target's node when the rule states none.
	DefaultQueueLength = 64
)

// Query is what a selector sees of a request.
type Query struct {
	Service string
	Method  string
	Path    string
	// Key is empty for a service without keys.
	Key string
	// Region is the region of the caller's node.
	Region string
	// Draw is a random number in [0, 1) that picks among weights.
	Random float64
}

// Labeled reports whether labels satisfy an expression.
type LabelMatcher interface {
	Matches(labels map[string]string) bool
}

// Choice is the decision for one request.
type Decision struct {
	// Selector is the name of the selector that matched.
	Selector string
	// Targets selects among the targets of the service.
	Targets LabelMatcher
	// Limits are complete: defaults are filled in.
	Limits Limits
	// Keyed says that only the owner of Slot may serve the request.
	Keyed bool
	// Slot is the index of the key's slot.
	Slot uint32
	// Key is the key, at most MaxKey bytes; empty for a service without keys.
	Key string
	// Revision is the revision of the rules that decided.
	Revision int64
	// Service is the service that runs the request; empty means the one that the caller named.
	Service string
	// Repeat says whether the request may run more than once.
	Idempotency Idempotency
	// Priority ranks the request, 0 highest.
	Priority int
	// Objective is the time within which the answer is prompt; 0 means none.
	Objective time.Duration
}

// Repeat says whether a request may run more than once.
type Idempotency int

const (
	// ByRequest leaves the answer to the request's own method and headers.
	IdempotencyFromRequest Idempotency = iota
	// Idempotent means that the request may run more than once.
	Idempotent
	// Once means that the request runs at most once.
	AtMostOnce
)
