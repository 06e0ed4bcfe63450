package seamstore

import (
	"fmt"
	"path"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callMetrics counts the client's calls by result and measures the duration of successful calls.
// An opened watch is recorded with duration 0.
type callMetrics struct {
	set *metrics.Set
	// refused counts the calls that the call budget did not allow.
	refused *metrics.Counter
}

func newCallMetrics(set *metrics.Set) callMetrics {
	return callMetrics{
		set:     set,
		refused: set.GetOrCreateCounter(`cardamomseam_store_refused_total`),
	}
}

func (m callMetrics) count(urlPath, result string) {
	name := fmt.Sprintf(`cardamomseam_store_calls_total{call=%q,result=%q}`, path.Base(urlPath), result)
	m.set.GetOrCreateCounter(name).Inc()
}

func (m callMetrics) succeeded(urlPath string, duration time.Duration) {
	m.count(urlPath, "done")
	m.set.GetOrCreateSummary(`cardamomseam_store_seconds`).Update(duration.Seconds())
}

func (m callMetrics) failed(urlPath string) {
	m.count(urlPath, "failed")
}
