package seamingress_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkHop compares requests sent directly to a target, through the target's node, and through two
// nodes. Callers, nodes and target share one process, so CPU time and allocations are
// the sum over all of them.
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

// measure sends requests from concurrent callers, each of which waits for its response before the next request.
func measure(b *testing.B, url string) {
	const callers = 8
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	before := cpuTime(b)
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
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
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

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSurge sends requests at twice the capacity of a target. It reports the goodput as a share of
// the capacity, the slowest successful response and the number of requests without a successful response.
func BenchmarkSurge(b *testing.B) {
	const slots, service, deadline = 12, 20 * time.Millisecond, 400 * time.Millisecond
	const capacity = float64(slots) / float64(service) * float64(time.Second)
	var running atomic.Int32
	front, back := pair(b, func(w http.ResponseWriter, _ *http.Request) {
		defer running.Add(-1)
		if running.Add(1) > slots {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(service)
	})
	back.target.announced.MaxConcurrency = slots
	front.rules.decision.Limits.DeadlineMillis = int(deadline.Milliseconds())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	for b.Loop() {
		var done, other atomic.Int32
		var slowest atomic.Int64
		var wg sync.WaitGroup
		start := time.Now()
		const seconds = 3
		for i := range int(2 * capacity * seconds) {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / (2 * capacity) * float64(time.Second)))))
			wg.Go(func() {
				sent := time.Now()
				r, _ := http.NewRequest(http.MethodPost, front.url("/book"), nil)
				r.Header.Set("Seam-Service", "booker")
				res, err := client.Do(r)
				if err != nil || res.Body.Close() != nil || res.StatusCode != http.StatusOK {
					other.Add(1)
					return
				}
				done.Add(1)
				slowest.Store(max(slowest.Load(), int64(time.Since(sent))))
			})
		}
		took := time.Since(start).Seconds()
		wg.Wait()
		b.ReportMetric(float64(done.Load())/(capacity*took), "goodput/capacity")
		b.ReportMetric(float64(slowest.Load())/1e6, "slowest-ms")
		b.ReportMetric(float64(other.Load()), "refused")
	}
}
