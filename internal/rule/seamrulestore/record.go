// Package seamrulestore records the operators' rule documents and their change history in the
// key-value store.
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
	// KeyPrefix is the prefix of the documents' keys in the store; the name of the service follows.
	KeyPrefix = seamstore.Root + "rule/"
	// maxRecordBytes is the maximum size of a value written to the store.
	maxRecordBytes = 1_000_000
	// maxTexts is the number of versions whose text is retained.
	maxTexts = 50
	// maxChanges is the number of changes that are retained, with or without text.
	maxChanges = 1000
	// maxTextBytes bounds the total size of the version texts in one record.
	maxTextBytes = 256 << 10
)

// Record is the value of a service's key in the store.
type Record struct {
	// Deleted means that the service was deleted; Document is then the last one before the deletion.
	Deleted  bool              `json:"deleted,omitempty"`
	Document seamrule.Document `json:"document"`
	// Changes are the retained changes, oldest first; the last one produced this version.
	Changes []Change `json:"changes"`
}

// Change is one entry of the history of a service.
type Change struct {
	// Number is the sequence number of the change within the service, starting at 1.
	Number int `json:"number"`
	// Revision is the store's revision of the change.
	Revision int64     `json:"revision"`
	Time     time.Time `json:"time"`
	// Author is the team that made the change.
	Author string `json:"author"`
	// Writer is the idempotency key of the change; repeating a change with the same one has no effect.
	Writer string `json:"writer"`
	// Action is one of the actions below.
	Action string `json:"action"`
	// Text is the version as YAML, or empty if it is no longer retained.
	Text string `json:"text,omitempty"`
}

// Actions of changes.
const (
	ActionSet    = "set"
	ActionDelete = "delete"
	ActionLabel  = "label"
)

// decode returns the record of an entry. The last change has the revision of the entry, which is not
// part of the stored value.
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

// encode returns the value for the store. If the record is too large, the error is a
// seamrule.FieldErrors.
func (r Record) encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(r); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if b.Len() > maxRecordBytes {
		allowed := fmt.Sprintf("at most %d bytes with its history", maxRecordBytes)
		return nil, seamrule.FieldErrors{{Field: "document", Value: fmt.Sprintf("%d bytes", b.Len()), Allowed: allowed}}
	}
	return b.Bytes(), nil
}

// withChange returns the record after one more change.
func (r Record) withChange(d seamrule.Document, c Change) Record {
	c.Number = 1
	if n := len(r.Changes); n > 0 {
		c.Number = r.Changes[n-1].Number + 1
	}
	c.Text = string(seamrule.Format(d))
	changes := append(append([]Change{}, r.Changes...), c)
	return Record{Deleted: c.Action == ActionDelete, Document: d, Changes: trim(changes)}
}

// trim removes the oldest changes and texts that exceed the limits.
func trim(changes []Change) []Change {
	if excess := len(changes) - maxChanges; excess > 0 {
		changes = changes[excess:]
	}
	bytes := 0
	for i := len(changes) - 1; i >= 0; i-- {
		bytes += len(changes[i].Text)
		if len(changes)-i > maxTexts || bytes > maxTextBytes {
			changes[i].Text = ""
		}
	}
	return changes
}

// yaml returns the document as YAML, or an empty text if there is none.
func (r Record) yaml() string {
	if r.Deleted || len(r.Changes) == 0 {
		return ""
	}
	return string(seamrule.Format(r.Document))
}

// DecodeVersion returns the version of the rules that an entry of the store holds.
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

// RecordError reports a value in the store that is not a valid record.
type RecordError struct {
	Key      string
	Revision int64
	Cause    error
}

// Error names the key, the revision and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("store key %s at revision %d does not hold a valid record: %v", e.Key, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
