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
	Processor time.Duration
	// Collections is the number of completed cycles of the garbage collector.
	Collections uint64
	// CollectorTime is the processor time of the garbage collector.
	CollectorTime time.Duration
	// Faults is the number of page faults that needed the disk.
	Faults int64
	// Preemptions is the number of times that the system took the processor away.
	Preemptions int64
}

// Watch looks at the clock until ctx ends, and tells sink of each time that the process stood still.
func Watch(ctx context.Context, sink seamevent.Sink) {
	w := NewWatcher(time.Now(), Read())
	for seamwait.For(ctx, look) {
		if s, ok := w.Look(time.Now(), Read()); ok {
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
	Late time.Duration
	// Used is what the process used since the look before.
	Used Usage
}

// Look takes note of a look and reports whether it was so late that the process stood still.
func (w *Watcher) Look(now time.Time, u Usage) (s Stall, stalled bool) {
	s = Stall{Late: now.Sub(w.last) - look, Used: u.minus(w.usage)}
	w.last, w.usage = now, u
	return s, s.Late >= limit
}

func (u Usage) minus(before Usage) Usage {
	return Usage{
		Processor:     u.Processor - before.Processor,
		Collections:   u.Collections - before.Collections,
		CollectorTime: u.CollectorTime - before.CollectorTime,
		Faults:        u.Faults - before.Faults,
		Preemptions:   u.Preemptions - before.Preemptions,
	}
}

func (s Stall) fields() seamevent.Fields {
	return seamevent.Fields{
		"late":        s.Late.Milliseconds(),
		"processor":   s.Used.Processor.Milliseconds(),
		"collections": s.Used.Collections,
		"collector":   s.Used.CollectorTime.Milliseconds(),
		"faults":      s.Used.Faults,
		"preemptions": s.Used.Preemptions,
	}
}

// Read returns what the process has used.
func Read() Usage {
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(samples)
	u := Usage{
		Collections:   samples[0].Value.Uint64(),
		CollectorTime: time.Duration(samples[1].Value.Float64() * float64(time.Second)),
	}
	var r syscall.Rusage
	// It fails only for another process or a bad address; the fields stay 0 then.
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.Processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.Faults, u.Preemptions = r.Majflt, r.Nivcsw
	}
	return u
}
