package seamcell

import (
	"encoding/json"
	"fmt"
	"strings"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// Prefixes of the store keys of records.
const (
	// KeyPrefix is the prefix of all records, so that one watch covers them.
	KeyPrefix = seamstore.Root + "own/"
	// CellPrefix is followed by the ID of a cell.
	CellPrefix = KeyPrefix + "cell/"
	// SlotsPrefix is followed by the name of a keyed service.
	SlotsPrefix = KeyPrefix + "slots/"
)

// Record is the value of one store key: a cell, or the initial partition of a service's slots.
type Record struct {
	// ID is the ID of the cell, in the form region-number. It is empty in the record of a service.
	ID string `json:"id,omitempty"`
	// Service is the name of the service whose slots were divided. It is empty in the record of a
	// cell.
	Service string `json:"service,omitempty"`
	Region  string `json:"region,omitempty"`
	// Epoch increases with each change of coordinator, backup or ranges.
	Epoch uint32 `json:"epoch"`
	// Coordinator is zero in a cell that was abandoned.
	Coordinator seampeer.Peer `json:"coordinator,omitzero"`
	// Backup is zero if there is no backup.
	Backup seampeer.Peer `json:"backup,omitzero"`
	// Ranges are the slots that the cell owns.
	Ranges []seamslot.Range `json:"ranges,omitempty"`
	// Transfers are ranges that have left the cell and whose receipt by the new cell is not
	// confirmed yet.
	Transfers []Transfer `json:"transfers,omitempty"`
	// ReceivedTransfers are transfers that were received and that the source has not cleared yet.
	ReceivedTransfers []Transfer `json:"taken,omitempty"`
	// TTLMillis is the time after the write after which the cell counts as abandoned, in
	// milliseconds.
	TTLMillis int64 `json:"horizon,omitempty"`
	// Renewals counts the writes that renew the record.
	Renewals uint64 `json:"beat,omitempty"`
	// Size is the number of members, published with a delay.
	Size int `json:"size,omitempty"`
	// Services are the services of the members' targets, published with a delay.
	Services []string `json:"offers,omitempty"`
	// WriteToken identifies the write, so that a writer recognizes its own write after a lost
	// response.
	WriteToken string `json:"token"`
}

// Transfer is a range in transfer to another cell.
type Transfer struct {
	seamslot.Range
	// Source is the key of the record from which the range is transferred.
	Source string `json:"source"`
	// Cell is the ID of the receiving cell.
	Cell string `json:"cell"`
	// Epoch is the epoch of the source. The recipient's epoch becomes higher.
	Epoch uint32 `json:"epoch"`
	// Owner is the name of the instance that has the state of the slots, or empty.
	Owner string `json:"owner,omitempty"`
}

// Entry is a record with its key and revision in the store.
type Entry struct {
	Key string
	// Revision is the store revision of the last write, or 0 if the key does not exist.
	Revision int64
	// Deleted says that the key was deleted at Revision.
	Deleted bool
	Record  Record
}

// Key returns the store key of the record.
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

// DecodeEntry returns the entry for a key and its JSON value.
func DecodeEntry(key string, revision int64, value []byte) (Entry, error) {
	e := Entry{Key: key, Revision: revision}
	if err := json.Unmarshal(value, &e.Record); err != nil {
		return Entry{}, &RecordError{Key: key, Cause: err}
	}
	if !strings.HasPrefix(key, CellPrefix) && !strings.HasPrefix(key, SlotsPrefix) {
		return Entry{}, &RecordError{Key: key, Cause: fmt.Errorf("unknown key prefix")}
	}
	return e, nil
}

// RecordError reports a store value that is not a valid record.
type RecordError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Contains reports whether the slot is in one of the cell's ranges.
func (r Record) Contains(id seamslot.ID) bool {
	for _, x := range r.Ranges {
		if x.Contains(id) {
			return true
		}
	}
	return false
}

// CellOf returns the record of the cell that owns the slot, if there is one.
func CellOf(directory []Entry, id seamslot.ID) (Record, bool) {
	for _, e := range directory {
		if !e.Deleted && e.Record.ID != "" && e.Record.Contains(id) {
			return e.Record, true
		}
	}
	return Record{}, false
}
