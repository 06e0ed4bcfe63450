package seamrulestore

import (
	"context"

	"cardamomseam/internal/rule/seamrule"
)

// Page is the record of one service as operators read it.
type ServiceRecord struct {
	Service string `json:"service"`
	// Revision is that of the last change, also if it was a deletion.
	Revision int64             `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
	Document seamrule.Document `json:"document"`
	// Changes are the kept changes, oldest first.
	Changes []Change `json:"changes,omitempty"`
}

// Read returns the record of the service from the store.
// Errors are *NotFoundError, *StaleError and *UnavailableError.
func (b *Store) Read(ctx context.Context, service string) (ServiceRecord, error) {
	entry, err := b.read(ctx, service, AnyRevision)
	if err != nil {
		return ServiceRecord{}, err
	}
	r, err := decode(entry)
	if err != nil {
		return ServiceRecord{}, err
	}
	if len(r.Changes) == 0 {
		return ServiceRecord{}, &NotFoundError{Service: service}
	}
	return ServiceRecord{Service: service, Revision: entry.Revision, Deleted: r.Deleted, Document: r.Document, Changes: r.Changes}, nil
}
