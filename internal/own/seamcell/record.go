package seamcell

import (
	"encoding/json"
	"fmt"
	"strings"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// Prefixes of the keys under which records stand in the store.
const (
	// Prefix precedes all records, so that one watch sees them.
	KeyPrefix = seamstore.Root + "own/"
	// CellPrefix precedes the id of a cell.
	CellPrefix = KeyPrefix + "cell/"
	// SlotsPrefix precedes the name of a keyed service.
	SlotsPrefix = KeyPrefix + "slots/"
)

// Record is the value of one key of the store: a cell, or the first division of a service's slots.
type Record struct {
	// ID is the id of the cell, region-number; empty in the record of a service.
	ID string `json:"id,omitempty"`
	// Service is the name of the service whose slots were divided; empty in the record of a cell.
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	// Epoch rises with each change of coordinator, backup or ranges.
	Epoch uint32 `json:"epoch"`
	// Coordinator is zero in a cell that was given up.
	Coordinator seampeer.Peer `json:"coordinator,omitzero"`
	// Backup is zero if the coordinator is alone.
	Backup seampeer.Peer `json:"backup,omitzero"`
	// Ranges are the slots that the cell owns.
	Ranges []seamslot.Range `json:"ranges,omitempty"`
	// Transfers are ranges that have left and were not yet seen in their new cell.
	Transfers []Transfer `json:"transfers,omitempty"`
	// Taken are transfers that were taken and are still to be dropped by their source.
	ReceivedTransfers []Transfer `json:"taken,omitempty"`
	// Horizon is the time after the write for which the record binds others, in milliseconds.
	TTLMillis int64 `json:"horizon,omitempty"`
	// Beat counts the slow renewals.
	Renewals uint64 `json:"beat,omitempty"`
	// Size is the number of members, published with a delay.
	Size int `json:"size,omitempty"`
	// Offers are the services of the members' targets, published with a delay.
	Services []string `json:"offers,omitempty"`
	// Token identifies the write, so that a writer recognizes its own after a lost answer.
	WriteToken string `json:"token"`
}

// Transfer is a range on its way to another cell.
type Transfer struct {
	seamslot.Range
	// Source is the key of the record that gives.
	Source string `json:"source"`
	// Cell is the id of the cell that is to take the range.
	Cell string `json:"cell"`
	// Epoch is that of the source; the taker's epoch becomes higher.
	Epoch uint32 `json:"epoch"`
	// Owner is the name of the instance that has the state of the slots, or empty.
	Owner string `json:"owner,omitempty"`
}

// Entry is a record with its place in the store.
type Entry struct {
	Key string
	// Revision is the store's revision of the last write; 0 if the key does not exist.
	Revision int64
	// Deleted says that the key was removed at Revision.
	Deleted bool
	Record  Record
}

// Key returns the key of the record.
func (r Record) Key() string {
	if r.Service != "" {
		return SlotsPrefix + r.Service
	}
	return CellPrefix + r.ID
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode returns the entry of a key and its JSON value.
func DecodeEntry(key string, revision int64, value []byte) (Entry, error) {
	e := Entry{Key: key, Revision: revision}
	if err := json.Unmarshal(value, &e.Record); err != nil {
		return Entry{}, &RecordError{Key: key, Cause: err}
	}
	if !strings.HasPrefix(key, CellPrefix) && !strings.HasPrefix(key, SlotsPrefix) {
		return Entry{}, &RecordError{Key: key, Cause: fmt.Errorf("unknown prefix")}
	}
	return e, nil
}

// RecordError says that a value in the store is no record.
type RecordError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s is unreadable: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Has reports whether the slot lies in one of the cell's ranges.
func (r Record) Contains(id seamslot.ID) bool {
	for _, x := range r.Ranges {
		if x.Contains(id) {
			return true
		}
	}
	return false
}

// CellOf returns the record of the cell that owns the slot, if a record names one.
func CellOf(directory []Entry, id seamslot.ID) (Record, bool) {
	for _, e := range directory {
		if !e.Deleted && e.Record.ID != "" && e.Record.Contains(id) {
			return e.Record, true
		}
	}
	return Record{}, false
}
