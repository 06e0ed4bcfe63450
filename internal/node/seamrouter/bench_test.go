package seamrouter_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"cardamomseam/internal/route/seamheader"
)

// BenchmarkRequests measures requests through one node of a small fleet, with the cost of the callers and the targets.
func BenchmarkRequests(b *testing.B) {
	f := newFleet(b, keyedService, keyedService, plainService, plainService)
	for _, n := range f.nodes {
		f.awaitServed(n)
	}
	for name, request := range map[string]struct{ method, path string }{
		"keyed":    {http.MethodGet, "/slots/x"},
		"plain":    {http.MethodPost, "/book/1"},
		"no route": {http.MethodGet, "/nowhere"},
	} {
		b.Run(name, func(b *testing.B) {
			var failed, sent atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
				for pb.Next() {
					id := sent.Add(1)
					r, err := http.NewRequest(request.method, "http://"+f.nodes[2].settings.Ingress+request.path, nil)
					if err != nil {
						b.Error(err)
						return
					}
					r.Host = "visits.example"
					r.Header.Set(seamheader.Request, fmt.Sprintf("%s-%d-%d", name, b.N, id))
					r.Header.Set(seamheader.Key, keys[int(id)%len(keys)])
					res, err := client.Do(r)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, res.Body) // the status is what counts
					res.Body.Close()
					if res.StatusCode >= http.StatusInternalServerError {
						failed.Add(1)
					}
				}
			})
			b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
		})
	}
}
