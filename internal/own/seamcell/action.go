package seamcell

import (
	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// Action is something that the input/output shell does for a Cell.
type Action interface{ action() }

// Send sends a datagram; it may be lost.
type Send struct {
	To      seampeer.Peer
	Message *seamcellwire.Message
}

// Swap writes Record under Key if the key's revision is Expect (0: it does not exist).
// The shell answers with Stored.
type CompareAndSwap struct {
	ID       uint64
	Key      string
	Expect   int64
	Record   Record
	Priority seamstore.Priority
}

// Read reads Key. The shell answers with Stored.
type Read struct {
	ID       uint64
	Key      string
	Priority seamstore.Priority
}

// Remove deletes Key if its revision is Expect. The shell answers with Stored.
type Remove struct {
	ID     uint64
	Key    string
	Expect int64
}

// Serve tells the own target that it may serve the slot, until Cell.Lease ends.
type Serve struct {
	Slot seamslot.ID
	// Epoch is the fencing token.
	Epoch uint64
	// Standby is the node of the standby, zero if there is none.
	Standby seampeer.Peer
	// Target is the address of the standby's target, or empty.
	StandbyAddress string
}

// StopServing ends a Serve.
type StopServing struct {
	Slot  seamslot.ID
	Epoch uint64
	// Graceful says that requests in flight may finish and that the state is to be
	// handed to the successor; the shell then calls Cell.Released.
	Graceful bool
	// Successor is the node that takes over, zero if it is not known.
	Successor seampeer.Peer
	// Target is the address of the successor's target, or empty.
	SuccessorAddress string
}

// Kind is what a Fetch asks for.
type FetchKind int

// Kinds of Fetch.
const (
	// Rules are the operators' documents.
	FetchRules FetchKind = iota
	// Directory are the records of all cells.
	FetchDirectory
)

// Fetch asks a peer for something newer than what this node has.
type Fetch struct {
	Kind FetchKind
	// From is zero if the store is to be asked, because the coordinator is silent.
	From seampeer.Peer
	// Revision is the one after which everything is wanted.
	Revision int64
}

// Emit reports an event; Name is one of the names in seamevent.
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
