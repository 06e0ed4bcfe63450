package seampoison

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/route/seampoisonwire"
)

// RecordPrefix is the prefix of the records' keys in the store. The service and the fingerprint follow.
const RecordPrefix = "own/poison/"

// maxPathBytes is the length to which the path in a record is truncated.
const maxPathBytes = 256

// Record is the quarantine of a request in the store.
type Record struct {
	Key Key
	Description
	// Trials is the number of trials that were begun.
	Trials int
	// Crashes is the number of targets that had crashed when the record was written.
	Crashes int
	// Revision is the revision of the store at which the record was last written.
	Revision int64
}

// StoreKey returns the key of the record of a request in the store.
func StoreKey(k Key) string { return RecordPrefix + k.String() }

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) {
	return proto.Marshal(&wire.Record{
		Service: r.Key.Service, Head: r.Key.Head, Body: r.Key.Body,
		Path: strings.ToValidUTF8(r.Path[:min(len(r.Path), maxPathBytes)], "?"), Caller: r.Caller, Trials: int32(r.Trials), Crashes: int32(r.Crashes),
	})
}

// DecodeRecord decodes the value of a key in the store. The error is *RecordError if the value does not belong to the key.
func DecodeRecord(key string, value []byte, revision int64) (Record, error) {
	w := new(wire.Record)
	if err := proto.Unmarshal(value, w); err != nil {
		return Record{}, err
	}
	r := Record{
		Key:         Key{w.GetService(), Fingerprint{Head: w.GetHead(), Body: w.GetBody()}},
		Description: Description{Path: w.GetPath(), Caller: w.GetCaller()},
		Trials:      int(w.GetTrials()), Crashes: int(w.GetCrashes()), Revision: revision,
	}
	if StoreKey(r.Key) != key {
		return Record{}, &RecordError{Key: key}
	}
	return r, nil
}

// RecordError reports a record that does not belong to its key in the store.
type RecordError struct {
	Key string
}

// Error gives the key.
func (e *RecordError) Error() string {
	return "the record of a poison request does not belong to its key " + e.Key
}

// PutRecord applies a record that was written to the store. It reports whether it is new to this node.
func (t *Table) PutRecord(now time.Time, r Record) (added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.records[r.Key]
	switch {
	case q == nil:
		t.records[r.Key] = &quarantine{Record: r, since: now}
		t.rebuild()
		return true
	case q.Revision < r.Revision:
		q.Record, q.since, q.ended = r, now, false
	}
	return false
}

// DeleteRecord applies the deletion of a record from the store. It ends the quarantine and the suspicion. It reports whether there
// was one.
func (t *Table) DeleteRecord(now time.Time, storeKey string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, q := range t.records {
		if StoreKey(k) == storeKey {
			delete(t.records, k)
			t.ignore(now, k)
			t.rebuild()
			t.signal()
			return q.Record, true
		}
	}
	return Record{}, false
}

// Records returns the records of all quarantined requests.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.records))
	for _, q := range t.records {
		records = append(records, q.Record)
	}
	return records
}

// Unrecorded returns the records that this node is to write: those of requests that are quarantined by the evidence alone, which
// includes a crash that this node has seen.
func (t *Table) Unrecorded() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var missing []Record
	for k, own := range t.own {
		crashes := t.evidence[k].counting()
		if len(own.crashes) > 0 && crashes >= minCrashes && t.records[k] == nil && len(t.records)+len(missing) < maxRecords {
			missing = append(missing, Record{Key: k, Description: own.Description, Crashes: crashes})
		}
	}
	return missing
}

// Ended returns the records that are to be deleted, because a target has answered the request.
func (t *Table) Ended() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Record
	for _, q := range t.records {
		if q.ended {
			ended = append(ended, q.Record)
		}
	}
	return ended
}
