package seamingress_test

import (
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkHop compares a request sent directly to a target with one over two
// nodes. Callers, nodes and target share the process, so that its processor time
// and allocations are those of all of them together.
func BenchmarkHop(b *testing.B) {
	front, back := pair(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "open 10-18")
	})
	back.directory.candidates = front.directory.candidates
	for _, bm := range []struct{ name, url string }{
		{"direct", "http://" + back.target.announced.Address + "/hours"},
		{"local", back.url("/hours")},
		{"hop", front.url("/hours")},
	} {
		b.Run(bm.name, func(b *testing.B) { measure(b, bm.url) })
	}
}

// measure sends requests from a few callers, each waiting for its answer.
func measure(b *testing.B, url string) {
	const callers = 8
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	before := processorTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range callers {
		wg.Go(func() {
			for range (b.N + n) / callers {
				took := call(b, client, url)
				mu.Lock()
				_ = h.RecordValue(int64(took))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
}

func call(b *testing.B, client *http.Client, url string) time.Duration {
	start := time.Now()
	r, _ := http.NewRequest(http.MethodGet, url, nil)
	r.Header.Set("Seam-Service", "booker")
	res, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer res.Body.Close()
	if _, err = io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", res.StatusCode, err)
	}
	return time.Since(start)
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
