package seamapi

import "time"

// StatusReport is the answer to GET /v1/status: what all cells told the answering node just now.
type StatusReport struct {
	// Node is the name of the answering node.
	Node string `json:"node"`
	// Revision is the revision of the rules in force at the answering node.
	Revision int64        `json:"revision"`
	Store    StoreStatus  `json:"store"`
	Cells    []CellStatus `json:"cells"`
	// Nodes are the members of the cells that answered.
	Nodes []NodeStatus `json:"nodes"`
}

// StoreStatus tells whether the answering node reaches the store.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// Since is the time of the last change of Reachable.
	Since time.Time `json:"since"`
}

// CellStatus tells about one cell.
type CellStatus struct {
	Cell   string `json:"cell"`
	Region string `json:"region"`
	// Answered is the node that told about the cell. If it is empty no node did: epoch, coordinator,
	// backup and slots are then those of the cell's record, and the rest is not known.
	AnsweredBy string `json:"answered"`
	// Fault says why the cell's coordinator did not answer; empty if it did.
	Fault string `json:"fault,omitempty"`
	// Revision is the revision of the rules that the cell has confirmed, 0 if its coordinator did not answer.
	Revision    int64  `json:"revision"`
	Epoch       uint64 `json:"epoch"`
	Coordinator string `json:"coordinator"`
	Backup      string `json:"backup"`
	// Slots is the number of slots of the cell, Owned that of slots with an owner.
	Slots int `json:"slots"`
	Owned int `json:"owned"`
	// Owners is the number of owned slots by instance.
	Owners map[string]int `json:"owners,omitempty"`
	// Changed is the time of the last change of the cell.
	ChangedAt time.Time `json:"changed"`
	// Reachable says that the node that answered reaches the store.
	Reachable bool `json:"reachable"`
}

// NodeStatus tells about one node.
type NodeStatus struct {
	Node    string `json:"node"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Cell    string `json:"cell"`
	Service string `json:"service"`
	// Revision is that of the rules in force at the node, 0 if its cell's coordinator did not answer.
	Revision int64 `json:"revision"`
	// Load is the number of requests in flight at the node's target, Slots the number it runs at once.
	Load  int `json:"load"`
	Slots int `json:"slots"`
	// Queue is the number of requests that wait for the target; only the answering node tells its own.
	Queue *int `json:"queue,omitempty"`
	// Owned is the number of slots of keys that the node owns.
	Owned int `json:"owned"`
	// State is serving or draining. A node that has drained, or was lost, is in no cell any more.
	State string `json:"state"`
}

// Attest is the body of PUT /v1/cells/CELL/attest: the operator attests that the
// instances are lost for good and cannot act any more.
type AttestRequest struct {
	Instances []string `json:"instances"`
}

// Ordered is the answer to a drain or an attestation.
type OperationResult struct {
	// Order is drain or attest.
	Operation string `json:"order"`
	// Subject is the node or the cell.
	Subject string `json:"subject"`
}

// Health is the answer to GET /v1/healthy.
type Health struct {
	// Ready says that the node has rules of at least the revision that its cell requires.
	Ready    bool  `json:"ready"`
	Revision int64 `json:"revision"`
}
