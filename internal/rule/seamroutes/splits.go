package seamroutes

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// maxSplitCounters is the number of parts of splits whose requests a node counts. A configuration may have 20,000 routes, and each
// counter takes memory and a line of the metrics.
const maxSplitCounters = 512

// maxLabelBytes is the length to which names are cut in the counters.
const maxLabelBytes = 64

func label(name string) string { return name[:min(len(name), maxLabelBytes)] }

// splitCounters are the counters of the requests of each route that has several services, by part.
type splitCounters struct {
	set *metrics.Set
	// names are those of the counters of the table in effect.
	names map[string]bool
}

// attach counts the requests of the splits of a table, and drops the counters of parts that it does not have.
func (s *splitCounters) attach(t *Table) {
	if s.set == nil {
		return
	}
	names := map[string]bool{}
	for _, r := range t.splits {
		if len(names)+len(r.Services) > maxSplitCounters {
			break
		}
		r.requests = make([]*metrics.Counter, len(r.Services))
		for i, p := range r.Services {
			name := fmt.Sprintf("cardamomseam_route_requests_total{route=%q,service=%q}", label(r.Name), label(p.Service))
			names[name] = true
			r.requests[i] = s.set.GetOrCreateCounter(name)
		}
	}
	for name := range s.names {
		if !names[name] {
			s.set.UnregisterMetric(name)
		}
	}
	s.names = names
}
