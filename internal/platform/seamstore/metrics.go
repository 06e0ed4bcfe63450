package seamstore

import (
	"fmt"
	"path"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callMetrics counts the client's calls by result and measures their duration.
type callMetrics struct {
	set     *metrics.Set
	refused *metrics.Counter
}

func newCallMetrics(set *metrics.Set) callMetrics {
	return callMetrics{
		set:     set,
		refused: set.GetOrCreateCounter(`cardamomseam_store_refused_total`),
	}
}

func (m callMetrics) count(kind, result string) {
	name := fmt.Sprintf(`cardamomseam_store_calls_total{call=%q,result=%q}`, path.Base(kind), result)
	m.set.GetOrCreateCounter(name).Inc()
}

func (m callMetrics) succeeded(kind string, took time.Duration) {
	m.count(kind, "done")
	m.set.GetOrCreateSummary(`cardamomseam_store_seconds`).Update(took.Seconds())
}

func (m callMetrics) failed(kind string) {
	m.count(kind, "failed")
}
