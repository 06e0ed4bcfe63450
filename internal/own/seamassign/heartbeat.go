package seamassign

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamtable"
)

// State is the state of a holder as its node reports it.
type State string

// States of a holder.
const (
	// Ready means that the target accepts keys.
	Ready State = "ready"
	// Leaving means that the target is shutting down; its keys are moved to other targets.
	Leaving State = "leaving"
	// Stopping means that the node restarts while the target keeps running; its keys are moved if the
	// other targets have capacity for them.
	Stopping State = "stopping"
	// Dead means that the target's process has exited; it holds no keys.
	Dead State = "dead"
)

// Released reports that a holder has released a span that it held under a fencing token.
type Released struct {
	seamtable.Span
	Fence uint64
	// Handover is the state that the target returned with the keys.
	Handover string
}

// Claim reports that a holder holds a span under a fencing token, by the lease of an assigner of an earlier era of the store.
type Claim struct {
	seamtable.Span
	Fence uint64
}

// Heartbeat is the periodic report of a holder's node.
type Heartbeat struct {
	// Epoch is the highest epoch that the node has accepted.
	Epoch  uint64
	Holder seamtable.Holder
	// Node is the reporting node.
	Node seampeer.Peer
	// Revision is the table revision of the node's list of ranges.
	Revision int64
	State    State
	// NoEarlierGrants reports that this incarnation of the target holds no keys that were granted to
	// an earlier incarnation at its address.
	NoEarlierGrants bool
	Released        []Released
	// Claims are the ranges that the target held when the store came back from a copy.
	Claims []Claim
	Load   seamtable.Load
}

// Reply answers a heartbeat.
type Reply struct {
	Epoch uint64
	// Lease is the duration of the lease on the ranges, counted from the time at which the heartbeat was sent.
	Lease    time.Duration
	Revision int64
	// Changed reports whether Ranges is the complete new list; if false, the holder keeps its list.
	Changed bool
	Ranges  []seamtable.Range
	// Release lists the ranges that the holder should release.
	Release []seamtable.Range
}
