// Package seamstall notices when the whole process stood still, and says what the runtime did meanwhile.
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
	// look is the time between two looks at the clock.
	look = 250 * time.Millisecond
	// limit is the lateness of a look from which the process counts as having stood still.
	limit = 250 * time.Millisecond
)

// Usage is what the process has used since its start.
type Usage struct {
	// Processor is the time on processors, in user and system mode.
	CPUTime time.Duration
	// Collections is the number of completed cycles of the garbage collector.
	GCCycles uint64
	// CollectorTime is the processor time of the garbage collector.
	GCTime time.Duration
	// Faults is the number of page faults that needed the disk.
	MajorFaults int64
	// Preemptions is the number of times that the system took the processor away.
	Preemptions int64
}

// Watch looks at the clock until ctx ends, and tells sink of each time that the process stood still.
func Watch(ctx context.Context, sink seamevent.Sink) {
	w := NewWatcher(time.Now(), ReadUsage())
	for seamwait.For(ctx, look) {
		if s, ok := w.Check(time.Now(), ReadUsage()); ok {
			sink.Emit(time.Now(), seamevent.ProcessStalled, s.fields())
		}
	}
}

// Watcher compares the times of looks that should be evenly apart.
type Watcher struct {
	last  time.Time
	usage Usage
}

// NewWatcher returns a watcher whose first look is at now.
func NewWatcher(now time.Time, u Usage) *Watcher {
	return &Watcher{last: now, usage: u}
}

// Stall is a time in which the process stood still.
type Stall struct {
	// Late is how much later than due the look was, by the steady clock.
	Delay time.Duration
	// Used is what the process used since the look before.
	Usage Usage
}

// Look takes note of a look and reports whether it was so late that the process stood still.
func (w *Watcher) Check(now time.Time, u Usage) (s Stall, stalled bool) {
	s = Stall{Delay: now.Sub(w.last) - look, Usage: u.minus(w.usage)}
	w.last, w.usage = now, u
	return s, s.Delay >= limit
}

func (u Usage) minus(before Usage) Usage {
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

// Read returns what the process has used.
func ReadUsage() Usage {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(samples)
	u := Usage{
		GCCycles: samples[0].Value.Uint64(),
		GCTime:   time.Duration(samples[1].Value.Float64() * float64(time.Second)),
	}
	var r syscall.Rusage
	// It fails only for another process or a bad address; the fields stay 0 then.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPUTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.MajorFaults, u.Preemptions = r.Majflt, r.Nivcsw
	}
	return u
}
