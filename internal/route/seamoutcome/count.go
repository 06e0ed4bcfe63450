package seamoutcome

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters counts finished attempts by outcome and reason.
type Counters struct {
	done         *metrics.Counter
	byReason     map[Reason]*metrics.Counter
	unrecognized *metrics.Counter
}

// NewCounters registers the counters under the metric name.
func NewCounters(set *metrics.Set, name string) *Counters {
	c := &Counters{
		done:         set.NewCounter(fmt.Sprintf("%s{outcome=%q,reason=\"\"}", name, Done)),
		byReason:     make(map[Reason]*metrics.Counter, len(table)),
		unrecognized: set.NewCounter(fmt.Sprintf("%s{outcome=%q,reason=\"other\"}", name, Unknown)),
	}
	for _, r := range table {
		c.byReason[r.Reason] = set.NewCounter(fmt.Sprintf("%s{outcome=%q,reason=%q}", name, r.Outcome, r.Reason))
	}
	return c
}

// Count counts one finished attempt.
func (c *Counters) Count(e End) {
	if e.Outcome == Done {
		c.done.Inc()
		return
	}
	if counter := c.byReason[e.Reason]; counter != nil {
		counter.Inc()
		return
	}
	c.unrecognized.Inc()
}
