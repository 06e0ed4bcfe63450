package seamcaller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load describes an open-loop load: requests are sent at a fixed rate, independent of responses.
type Load struct {
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the time for which requests are sent.
	Duration time.Duration
	// Next returns the n-th request, counted from 0. It is called from a single goroutine.
	Next func(n int) Request
	// Records collects the records of all requests. If it is nil, no records are kept.
	Records *Records
	// Stop ends the load early when it is closed. Requests in flight are still waited for.
	Stop <-chan struct{}
	// MaxInFlight is the maximum number of requests in flight. Requests above it are skipped.
	// 0 means DefaultMaxInFlight.
	MaxInFlight int64
}

// DefaultMaxInFlight is the default maximum number of requests in flight of one load.
const DefaultMaxInFlight = 8192

// Report holds the results of a load.
type Report struct {
	Sent int64
	// Skipped is the number of requests that were not sent because MaxInFlight was reached.
	Skipped int64
	// Outcomes counts the records of each outcome.
	Outcomes map[Outcome]int64
	// Reasons counts the requests that were not done by reason.
	Reasons map[string]int64
	// Latency holds the latencies of done requests in microseconds, measured from their due times.
	Latency *hdrhistogram.Histogram
	// Elapsed is the time from the first request's due time to the last response.
	Elapsed time.Duration
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{
		Outcomes: map[Outcome]int64{},
		Reasons:  map[string]int64{},
		Latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// Add adds another report, such as that of a later part of the same load.
func (r *Report) Add(o Report) {
	r.Sent += o.Sent
	r.Skipped += o.Skipped
	r.Elapsed += o.Elapsed
	for outcome, n := range o.Outcomes {
		r.Outcomes[outcome] += n
	}
	for reason, n := range o.Reasons {
		r.Reasons[reason] += n
	}
	r.Latency.Merge(o.Latency)
}

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Quantile returns the q-th percentile of the latency of done requests; q is between 0 and 100.
func (r Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Throughput returns the number of done requests per second.
func (r Report) Throughput() float64 {
	return float64(r.Outcomes[Done]) / r.Elapsed.Seconds()
}

type collector struct {
	mu       sync.Mutex
	report   Report
	records  *Records
	inFlight atomic.Int64
}

func (c *collector) add(x Record) {
	if c.records != nil {
		c.records.Add(x)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Outcomes[x.Outcome]++
	if x.Outcome != Done {
		c.report.Reasons[x.Reason]++
	}
	if x.Outcome == Done {
		_ = c.report.Latency.RecordValue(max(x.End.Sub(x.Due).Microseconds(), minLatencyMicros))
	}
}

// Run sends the load until its duration is over, it is stopped or ctx ends, and waits for all
// responses.
func (c *Client) Run(ctx context.Context, l Load) Report {
	if l.MaxInFlight == 0 {
		l.MaxInFlight = DefaultMaxInFlight
	}
	k := &collector{records: l.Records, report: NewReport()}
	started := time.Now()
	var running sync.WaitGroup
	for n := 0; ; n++ {
		due := started.Add(time.Duration(float64(n) / l.Rate * float64(time.Second)))
		if due.Sub(started) >= l.Duration || !waitUntil(ctx, l.Stop, due) {
			break
		}
		q := l.Next(n)
		if k.inFlight.Load() >= l.MaxInFlight {
			k.report.Skipped++
			continue
		}
		k.report.Sent++
		k.inFlight.Add(1)
		running.Go(func() {
			defer k.inFlight.Add(-1)
			x := c.Send(ctx, q)
			x.Due = due
			k.add(x)
		})
	}
	running.Wait()
	k.report.Elapsed = time.Since(started)
	return k.report
}

// waitUntil waits until due and reports whether the load continues.
func waitUntil(ctx context.Context, stopped <-chan struct{}, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-stopped:
		return false
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
