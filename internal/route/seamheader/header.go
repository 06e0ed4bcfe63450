// Package seamheader defines the HTTP headers that callers, nodes and targets exchange.
package seamheader

// Headers of requests.
const (
	// Service names the service; without it, the first label of the host is used.
	Service = "Seam-Service"
	// Key holds the key of the request, for a keyed service whose rule specifies "header:Seam-Key".
	Key = "Seam-Key"
	// Request is an id chosen by the caller. A request that is not idempotent and is repeated with the same id before
	// its deadline never runs twice.
	Request = "Seam-Request"
	// Deadline is the time left until the deadline of the request, in milliseconds.
	Deadline = "Seam-Deadline"
	// Idempotent states whether the request is idempotent and overrides its method: "true" or "false".
	Idempotent = "Seam-Idempotent"
	// Caller names the caller, for fairness among callers; without it, the remote address is used.
	Caller = "Seam-Caller"
	// Epoch is the fencing token that the node sends to its target.
	Epoch = "Seam-Epoch"
	// Slot is the index of the key's slot, which the node sends to its target.
	Slot = "Seam-Slot"
)

// Headers of responses.
const (
	// Outcome is one of Done, Refused and Unknown.
	Outcome = "Seam-Outcome"
	// Reason is the one-word cause of a Refused or Unknown outcome.
	Reason = "Seam-Reason"
	// Trace is the trace id.
	Trace = "Seam-Trace"
	// Server names the instance whose target ran the request.
	Server = "Seam-Server"
	// Limit is the number of requests per second that a target accepts from all nodes together, for as long as its
	// responses state it.
	Limit = "Seam-Limit"
	// Leaving is "1" in the responses of a target that is about to stop.
	Leaving = "Seam-Leaving"
)

// Values of Outcome.
const (
	// Done means that the target ran the request; the status and the body are the target's.
	Done = "done"
	// Refused means that the request has not run and never will.
	Refused = "refused"
	// Unknown means that the request may or may not have run.
	Unknown = "unknown"
)
