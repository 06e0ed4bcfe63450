// Package seamstall detects stalls of the whole process, and reports its resource usage during each.
package seamstall

import (
	"context"
	"runtime/metrics"
	"syscall"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 250 * time.Millisecond
	// stallThreshold is the delay of a check from which it counts as a stall.
	stallThreshold = 250 * time.Millisecond
)

// Usage is the resource usage of the process since its start.
type Usage struct {
	// CPUTime is the CPU time in user and system mode.
	CPUTime time.Duration
	// GCCycles is the number of completed garbage collection cycles.
	GCCycles uint64
	// GCTime is the CPU time of the garbage collector.
	GCTime time.Duration
	// MajorFaults is the number of page faults that needed disk I/O.
	MajorFaults int64
	// Preemptions is the number of involuntary context switches.
	Preemptions int64
}

// Watch checks the clock until ctx ends, and emits an event for each stall of the process.
func Watch(ctx context.Context, sink seamevent.Sink) {
	w := NewWatcher(time.Now(), ReadUsage())
	for seamwait.For(ctx, checkInterval) {
		if s, ok := w.Check(time.Now(), ReadUsage()); ok {
			sink.Emit(time.Now(), seamevent.ProcessStalled, s.fields())
		}
	}
}

// Watcher detects stalls from the times of checks that should be checkInterval apart.
type Watcher struct {
	last  time.Time
	usage Usage
}

// NewWatcher returns a watcher whose first check was at now, with usage u.
func NewWatcher(now time.Time, u Usage) *Watcher {
	return &Watcher{last: now, usage: u}
}

// Stall is a period in which the process did not run.
type Stall struct {
	// Delay is how late the check was, by the monotonic clock.
	Delay time.Duration
	// Usage is the resource usage since the previous check.
	Usage Usage
}

// Check records a check at now, with usage u, and reports whether it was late enough to count as a stall.
func (w *Watcher) Check(now time.Time, u Usage) (s Stall, stalled bool) {
	s = Stall{Delay: now.Sub(w.last) - checkInterval, Usage: u.since(w.usage)}
	w.last, w.usage = now, u
	return s, s.Delay >= stallThreshold
}

func (u Usage) since(before Usage) Usage {
	return Usage{
		CPUTime:     u.CPUTime - before.CPUTime,
		GCCycles:    u.GCCycles - before.GCCycles,
		GCTime:      u.GCTime - before.GCTime,
		MajorFaults: u.MajorFaults - before.MajorFaults,
		Preemptions: u.Preemptions - before.Preemptions,
	}
}

func (s Stall) fields() seamevent.Fields {
	return seamevent.Fields{
		"late":        s.Delay.Milliseconds(),
		"processor":   s.Usage.CPUTime.Milliseconds(),
		"collections": s.Usage.GCCycles,
		"collector":   s.Usage.GCTime.Milliseconds(),
		"faults":      s.Usage.MajorFaults,
		"preemptions": s.Usage.Preemptions,
	}
}

// ReadUsage returns the resource usage of the process since its start.
func ReadUsage() Usage {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(samples)
	u := Usage{
		GCCycles: samples[0].Value.Uint64(),
		GCTime:   time.Duration(samples[1].Value.Float64() * float64(time.Second)),
	}
	var r syscall.Rusage
	// Getrusage fails only for an invalid process or address; the fields stay 0 in that case.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPUTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.MajorFaults, u.Preemptions = r.Majflt, r.Nivcsw
	}
	return u
}
