package seamingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkHop compares a request sent directly to a target with one over two nodes.
func BenchmarkHop(b *testing.B) {
	front, back := pair(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "open 10-18")
	})
	direct := "http://" + back.target.announced.Address + "/hours"
	for _, bm := range []struct{ name, url string }{
		{"direct", direct},
		{"local", back.url("/hours")},
		{"hop", front.url("/hours")},
	} {
		back.directory.candidates = front.directory.candidates
		b.Run(bm.name, func(b *testing.B) { measure(b, bm.url) })
	}
}

func measure(b *testing.B, url string) {
	const perSecond = 6400
	b.ReportAllocs()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	times := make(chan time.Duration, b.N)
	start := time.Now()
	for i := range b.N {
		due := start.Add(time.Duration(i) * time.Second / perSecond)
		time.Sleep(time.Until(due))
		go func() {
			r, _ := http.NewRequest(http.MethodGet, url, nil)
			r.Header.Set("Seam-Service", "booker")
			res, err := client.Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			if err != nil || res.StatusCode != http.StatusOK {
				b.Errorf("answer %v, %v", res, err)
			}
			times <- time.Since(due)
		}()
	}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for range b.N {
		_ = h.RecordValue(int64(<-times))
	}
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
}
