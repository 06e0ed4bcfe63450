package seamelection

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
)

// maxResignations is the number of resignations that are kept for each service.
const maxResignations = 16

// Resignation states that an assigner grants no more leases on the keys of a service.
type Resignation struct {
	Service  string
	Assigner seamtable.Assigner
	// ExpiresAt is the time at which the last lease that the assigner granted expires.
	ExpiresAt seamclock.Instant
}

// ToWire converts the resignation to its wire message, with the expiry as the time remaining from now, rounded up to
// milliseconds.
func (r Resignation) ToWire(now seamclock.Instant) *wire.Farewell {
	remaining := max(seamclock.MaxElapsed(r.ExpiresAt, now), 0)
	return &wire.Farewell{Service: r.Service, Assigner: r.Assigner.ToWire(), Over: (remaining + time.Millisecond - 1).Milliseconds()}
}

// ResignationFromWire converts a resignation from its wire message, which was received at now. The remaining time is extended for clock drift
// and by the safety margin.
func ResignationFromWire(now seamclock.Instant, w *wire.Farewell) Resignation {
	remaining := time.Duration(w.GetOver()) * time.Millisecond
	return Resignation{
		Service:   w.GetService(),
		Assigner:  seamtable.AssignerFromWire(w.GetAssigner()),
		ExpiresAt: now.Add(seamassign.DefaultConfig().MaxRemoteDuration(remaining)),
	}
}

// DecodeResignation decodes a serialized resignation that another node forwarded.
func DecodeResignation(now seamclock.Instant, value []byte) (Resignation, error) {
	w := new(wire.Farewell)
	if err := proto.Unmarshal(value, w); err != nil {
		return Resignation{}, err
	}
	return ResignationFromWire(now, w), nil
}

// ResignationExpiry returns the time at which the last lease of an assigner expires; false if the assigner has not
// resigned.
func (r *Registry) ResignationExpiry(service string, a seamtable.Assigner) (expiresAt seamclock.Instant, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, resignation := range r.resignations[service] {
		if resignation.Assigner.Covers(a) {
			return resignation.ExpiresAt, true
		}
	}
	return seamclock.Instant{}, false
}

// AddResignation records a resignation, unless one of the same assigner is known. Beyond maxResignations for a service,
// the oldest is dropped.
func (r *Registry) AddResignation(resignation Resignation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.resignations[resignation.Service]
	for _, known := range list {
		if known.Assigner == resignation.Assigner {
			return
		}
	}
	r.resignations[resignation.Service] = append(list[max(len(list)+1-maxResignations, 0):], resignation)
}

// Resignations returns all recorded resignations.
func (r *Registry) Resignations() []Resignation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Resignation
	for _, list := range r.resignations {
		all = append(all, list...)
	}
	return all
}
