package seamcaller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is an open-loop load.
type Load struct {
	// Rate is the number of requests a second.
	Rate float64
	// For is the time for which requests are sent.
	Duration time.Duration
	// Next returns the n-th request, from 0. It is called in one goroutine.
	Next func(n int) Request
	// Records takes the records; nil keeps none.
	Records *Records
	// Stopped ends the load early when it is closed; the answers in flight are waited for.
	Stop <-chan struct{}
	// Limit is the number of requests in flight beyond which further ones are skipped; 0 means DefaultLimit.
	MaxInFlight int64
}

// DefaultLimit is the number of requests in flight of one load.
const DefaultMaxInFlight = 8192

// Report sums up a load.
type Report struct {
	Sent int64
	// Skipped is the number of requests that the caller could not send in time.
	Skipped int64
	// Outcomes counts the records of each outcome.
	Outcomes map[Outcome]int64
	// Reasons counts the reasons of requests that were not done.
	Reasons map[string]int64
	// Latency holds the latencies of requests done, in microseconds since they were due.
	Latency *hdrhistogram.Histogram
	// Took is the time from the first request's due time to the last answer.
	Elapsed time.Duration
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{
		Outcomes: map[Outcome]int64{},
		Reasons:  map[string]int64{},
		Latency:  hdrhistogram.New(lowestLatency, highestLatency, precision),
	}
}

// Add adds another report, as of a later part of the same load.
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
	lowestLatency  = 1
	highestLatency = 60_000_000
	precision      = 3
)

// Quantile returns a quantile of the latency of requests done; q is between 0 and 100.
func (r Report) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Throughput returns the number of requests done a second.
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
		_ = c.report.Latency.RecordValue(max(x.End.Sub(x.Due).Microseconds(), lowestLatency))
	}
}

// Run sends the load until it is over or ctx ends, and waits for all answers.
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

// waitUntil waits for the time and reports whether the load goes on.
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
