package seamholder

import (
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// ObserveEra records the latest era of the store. If the lease is valid now, it was valid when the era began, so that no
// assigner has given the ranges to another holder in what the store lost.
func (h *Holder) ObserveEra(now seamclock.Instant, era int64) {
	if era <= h.era {
		return
	}
	h.era = era
	if !seamclock.Expired(now, h.leaseEnd) {
		h.leasedEra = era
	}
}

// claims returns the ranges to claim from an assigner that was elected in a later era of the store than the one that sent
// them: its table may lack them.
func (h *Holder) claims() []seamassign.Claim {
	era := seamtable.EpochEra(h.epoch)
	if h.leasedEra != era || seamtable.EpochEra(h.listEpoch) >= era {
		return nil
	}
	var claims []seamassign.Claim
	for _, e := range h.entries {
		if e.phase < releasing {
			claims = append(claims, seamassign.Claim{Span: e.Span, Fence: e.Fence})
		}
	}
	return claims
}
