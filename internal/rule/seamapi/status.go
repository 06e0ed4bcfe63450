package seamapi

import "time"

// StatusReport is the response to GET /v1/status: the current state of all cells, collected by
// the node that received the request.
type StatusReport struct {
	// Node is the name of the node that received the request.
	Node string `json:"node"`
	// Revision is the revision of the rules in force at Node.
	Revision int64        `json:"revision"`
	Store    StoreStatus  `json:"store"`
	Cells    []CellStatus `json:"cells"`
	// Nodes are the members of the cells whose AnsweredBy is set.
	Nodes []NodeStatus `json:"nodes"`
}

// StoreStatus reports whether StatusReport.Node can reach the store.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// Since is the time when Reachable last changed.
	Since time.Time `json:"since"`
}

// CellStatus is the state of one cell.
type CellStatus struct {
	Cell   string `json:"cell"`
	Region string `json:"region"`
	// AnsweredBy is the node that reported the cell's state. If it is empty, no node did: epoch,
	// coordinator, backup and slots then come from the last known record of the cell, and the
	// rest is unknown.
	AnsweredBy string `json:"answered"`
	// Fault is the reason why the cell's coordinator did not answer, or empty if it did.
	Fault string `json:"fault,omitempty"`
	// Revision is the revision of the rules that the cell has confirmed. It is 0 if the coordinator
	// did not answer.
	Revision    int64  `json:"revision"`
	Epoch       uint64 `json:"epoch"`
	Coordinator string `json:"coordinator"`
	Backup      string `json:"backup"`
	// Slots is the number of slots of the cell. Owned is the number of slots that have an owner.
	Slots int `json:"slots"`
	Owned int `json:"owned"`
	// Owners is the number of slots owned by each instance.
	Owners map[string]int `json:"owners,omitempty"`
	// ChangedAt is the time of the last change of the cell's epoch, members or owners.
	ChangedAt time.Time `json:"changed"`
	// Reachable reports whether AnsweredBy can reach the store.
	Reachable bool `json:"reachable"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Node    string `json:"node"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Cell    string `json:"cell"`
	Service string `json:"service"`
	// Revision is the revision of the rules in force at the node. It is 0 if its cell's coordinator
	// did not answer.
	Revision int64 `json:"revision"`
	// Load is the number of requests in flight at the node's target. Slots is the target's
	// concurrency limit.
	Load  int `json:"load"`
	Slots int `json:"slots"`
	// Queue is the number of requests waiting for the target. It is known only for the target of
	// StatusReport.Node.
	Queue *int `json:"queue,omitempty"`
	// Owned is the number of key slots that the node owns.
	Owned int `json:"owned"`
	// State is serving or draining. A drained or lost node is not listed, because it is no longer a
	// member of any cell.
	State string `json:"state"`
}

// AttestRequest is the body of PUT /v1/cells/CELL/attest. The operator confirms that the
// instances are permanently lost: they have stopped and will never serve again.
type AttestRequest struct {
	Instances []string `json:"instances"`
}

// OperationResult is the response to a drain or an attestation.
type OperationResult struct {
	// Operation is drain or attest.
	Operation string `json:"order"`
	// Subject is the name of the drained node, or of the cell whose instances are attested as lost.
	Subject string `json:"subject"`
}

// Health is the response to GET /v1/healthy.
type Health struct {
	// Ready reports whether the rules in force are at the revision that the cell requires, or later.
	Ready    bool  `json:"ready"`
	Revision int64 `json:"revision"`
}
