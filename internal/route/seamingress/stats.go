package seamingress

import (
	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/route/seamdedup"
	"cardamomseam/internal/route/seamoutcome"
)

// stats holds the metrics of an ingress.
type stats struct {
	counters *seamoutcome.Counters
	latency  *metrics.Histogram
	// truncated counts the responses that were aborted after a part of them was written.
	truncated *metrics.Counter
	retries   *metrics.Counter
	// redirects counts the refused requests that were sent to another node immediately, at no cost to the retry budget.
	redirects *metrics.Counter
	// budgetExhausted counts the retries that were not made because the retry budget was exhausted.
	budgetExhausted *metrics.Counter
	// voids counts the voided attempts, and those that could not be voided, by the resulting seamdedup.State.
	voids map[string]*metrics.Counter
	// regions counts the requests that were refused because of their allowed regions.
	regions regionCounters
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		counters:        seamoutcome.NewCounters(set, "cardamomseam_ingress_requests_total"),
		latency:         set.NewHistogram("cardamomseam_ingress_seconds"),
		truncated:       set.NewCounter("cardamomseam_ingress_cut_total"),
		retries:         set.NewCounter("cardamomseam_ingress_retries_total"),
		redirects:       set.NewCounter("cardamomseam_ingress_redirects_total"),
		budgetExhausted: set.NewCounter("cardamomseam_ingress_starved_total"),
		regions:         newRegionCounters(set),
		voids: map[string]*metrics.Counter{
			"voided":    set.NewCounter(`cardamomseam_ingress_voids_total{state="voided"}`),
			"withdrawn": set.NewCounter(`cardamomseam_ingress_voids_total{state="withdrawn"}`),
			"ran":       set.NewCounter(`cardamomseam_ingress_voids_total{state="ran"}`),
			"unknown":   set.NewCounter(`cardamomseam_ingress_voids_total{state="unknown"}`),
		},
	}
}

// countVoid counts the result of voiding one attempt, which may take several requests to its node.
func (s *stats) countVoid(state seamdedup.State) {
	if c := s.voids[string(state)]; c != nil {
		c.Inc()
	}
}
