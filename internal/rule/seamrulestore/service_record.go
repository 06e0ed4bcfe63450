package seamrulestore

import (
	"context"

	"cardamomseam/internal/rule/seamrule"
)

// ServiceRecord is the recorded document of one service with its change history.
type ServiceRecord struct {
	Service string `json:"service"`
	// Revision is the revision of the last change, even if it was a deletion.
	Revision int64             `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
	Document seamrule.Document `json:"document"`
	// Changes are the retained changes, oldest first.
	Changes []Change `json:"changes,omitempty"`
}

// Read returns the record of the service from the store.
// Errors are *NotFoundError, *StaleError, *UnavailableError and *RecordError.
func (s *Store) Read(ctx context.Context, service string) (ServiceRecord, error) {
	entry, err := s.read(ctx, service, AnyRevision)
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
