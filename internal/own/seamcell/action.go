package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// Action is an operation that a Cell asks its caller to perform.
type Action interface{ action() }

// Send sends a datagram, which may be lost.
type Send struct {
	To      seampeer.Peer
	Message *seamcellwire.Message
}

// CompareAndSwap writes Record under Key if the key's revision is Expect; 0 means that the key does
// not exist. The caller reports the result with Cell.StoreCompleted.
type CompareAndSwap struct {
	ID       uint64
	Key      string
	Expect   int64
	Record   Record
	Priority seamstore.Priority
}

// Read reads Key. The caller reports the result with Cell.StoreCompleted.
type Read struct {
	ID       uint64
	Key      string
	Priority seamstore.Priority
}

// Remove deletes Key if its revision is Expect. The caller reports the result with
// Cell.StoreCompleted.
type Remove struct {
	ID     uint64
	Key    string
	Expect int64
}

// Serve allows the local target to serve the slot until the end of Cell.Lease.
type Serve struct {
	Slot seamslot.ID
	// Epoch is the fencing token.
	Epoch uint64
	// Standby is the node of the standby target, or zero if there is none.
	Standby seampeer.Peer
	// StandbyAddress is the address of the standby target, or empty.
	StandbyAddress string
}

// StopServing revokes a Serve.
type StopServing struct {
	Slot  seamslot.ID
	Epoch uint64
	// Graceful allows requests in flight to finish and the state to be handed to the successor.
	// The caller then calls Cell.SlotReleased.
	Graceful bool
	// Successor is the node of the next owner, or zero if it is unknown.
	Successor seampeer.Peer
	// SuccessorAddress is the address of the successor's target, or empty.
	SuccessorAddress string
}

// FetchKind selects the data that a Fetch requests.
type FetchKind int

// Kinds of Fetch.
const (
	// FetchRules requests the operators' rules.
	FetchRules FetchKind = iota
	// FetchDirectory requests the records of all cells.
	FetchDirectory
)

// Fetch requests data that is newer than this node's copy.
type Fetch struct {
	Kind FetchKind
	// From is the peer to ask. It is zero if the coordinator is unresponsive and the store is to
	// be read instead.
	From seampeer.Peer
	// Revision is the last known revision; only later changes are requested.
	Revision int64
}

// Emit reports an event. Name is one of the names in seamevent.
type Emit struct {
	Name   string
	Fields seamevent.Fields
}

func (Send) action()           {}
func (CompareAndSwap) action() {}
func (Read) action()           {}
func (Remove) action()         {}
func (Serve) action()          {}
func (StopServing) action()    {}
func (Fetch) action()          {}
func (Emit) action()           {}
