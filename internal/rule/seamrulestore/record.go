// Package seamrulestore records the operators' documents in the store, with their history.
package seamrulestore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// KeyPrefix begins the store's keys of documents; the name of the service follows.
	KeyPrefix = seamstore.Root + "rule/"
	// recordLimit is the longest value written to the store, in bytes.
	recordLimit = 1_000_000
	// textLimit is the number of earlier versions whose text is kept.
	textLimit = 50
	// changeLimit is the number of changes that are kept without text.
	changeLimit = 1000
	// textBytes bounds the texts of earlier versions of one record.
	textBytes = 256 << 10
)

// Record is the value of one key of the store.
type Record struct {
	// Deleted says that the service was deleted; Document then is the last one before.
	Deleted  bool              `json:"deleted,omitempty"`
	Document seamrule.Document `json:"document"`
	// Changes are the kept changes, oldest first; the last one made this version.
	Changes []Change `json:"changes"`
}

// Change is one entry of the history of a service.
type Change struct {
	// Number counts the changes of the service from 1.
	Number int `json:"number"`
	// Revision is the store's revision of the change.
	Revision int64     `json:"revision"`
	Time     time.Time `json:"time"`
	// Author is the team that made the change.
	Author string `json:"author"`
	// Writer identifies the write; repeating a write with the same one has no effect.
	Writer string `json:"writer"`
	// Action is one of the actions below.
	Action string `json:"action"`
	// Text is the version as YAML, or empty if it is no longer kept.
	Text string `json:"text,omitempty"`
}

// Actions of changes.
const (
	ActionSet    = "set"
	ActionDelete = "delete"
	ActionLabel  = "label"
)

// decode reads the record of an entry; the revision of its last change is that of the entry.
func decode(e seamstore.Entry) (Record, error) {
	var r Record
	if e.Revision == 0 {
		return r, nil
	}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, &RecordError{Key: e.Key, Revision: e.Revision, Cause: err}
	}
	if n := len(r.Changes); n > 0 {
		r.Changes[n-1].Revision = e.Revision
	}
	return r, nil
}

// encode returns the value for the store. The error is a seamrule.FieldErrors.
func (r Record) encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(r); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if b.Len() > recordLimit {
		allowed := fmt.Sprintf("at most %d bytes with its history", recordLimit)
		return nil, seamrule.FieldErrors{{Field: "document", Value: fmt.Sprintf("%d bytes", b.Len()), Allowed: allowed}}
	}
	return b.Bytes(), nil
}

// with returns the record after one more change.
func (r Record) with(d seamrule.Document, c Change) Record {
	c.Number = 1
	if n := len(r.Changes); n > 0 {
		c.Number = r.Changes[n-1].Number + 1
	}
	c.Text = string(seamrule.Format(d))
	changes := append(append([]Change{}, r.Changes...), c)
	return Record{Deleted: c.Action == ActionDelete, Document: d, Changes: trim(changes)}
}

// trim drops the oldest changes and texts beyond the limits.
func trim(changes []Change) []Change {
	if over := len(changes) - changeLimit; over > 0 {
		changes = changes[over:]
	}
	bytes := 0
	for i := len(changes) - 1; i >= 0; i-- {
		bytes += len(changes[i].Text)
		if len(changes)-i > textLimit || bytes > textBytes {
			changes[i].Text = ""
		}
	}
	return changes
}

// text returns the document as YAML, or the empty text if there is none.
func (r Record) text() string {
	if r.Deleted || len(r.Changes) == 0 {
		return ""
	}
	return string(seamrule.Format(r.Document))
}

// Version reads the version that an entry of the store holds.
// The error is a *RecordError.
func DecodeVersion(e seamstore.Entry) (seamrule.Version, error) {
	r, err := decode(e)
	if err != nil {
		return seamrule.Version{}, err
	}
	return seamrule.Version{
		Service:  strings.TrimPrefix(e.Key, KeyPrefix),
		Revision: e.Revision,
		Deleted:  r.Deleted,
		Document: r.Document,
	}, nil
}

// RecordError says that a value of the store is not a record.
type RecordError struct {
	Key      string
	Revision int64
	Cause    error
}

// Error names the key, the revision and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("store key %s at revision %d holds no record: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
