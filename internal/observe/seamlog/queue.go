package seamlog

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 4096
	// flushTimeout limits the time spent writing queued lines when the log stops.
	flushTimeout = time.Second
)

// queue is a log handler that never blocks its callers. It buffers entries in a bounded queue,
// and drops and counts those that do not fit.
type queue struct {
	entries chan *log.Entry
	quit    chan struct{}
	done    chan struct{}
	next    log.Handler
	dropped *metrics.Counter
}

// newQueue starts a queue that writes to next, and returns it with a function that flushes
// and stops it.
func newQueue(next log.Handler, m *metrics.Set) (q *queue, stop func()) {
	q = &queue{
		entries: make(chan *log.Entry, maxQueuedLines),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		next:    next,
		dropped: m.GetOrCreateCounter("cardamomseam_log_dropped_total"),
	}
	go q.run()
	return q, q.stop
}

// HandleLog enqueues the entry, or drops it if the queue is full.
func (q *queue) HandleLog(e *log.Entry) error {
	select {
	case q.entries <- e:
	default:
		q.dropped.Inc()
	}
	return nil
}

func (q *queue) run() {
	defer close(q.done)
	for {
		select {
		case e := <-q.entries:
			q.write(e)
		case <-q.quit:
			q.flush()
			return
		}
	}
}

func (q *queue) flush() {
	for {
		select {
		case e := <-q.entries:
			q.write(e)
		default:
			return
		}
	}
}

// write passes an entry to the next handler. If the entry cannot be encoded, it is written
// without its fields and counted as dropped.
func (q *queue) write(e *log.Entry) {
	if q.next.HandleLog(e) == nil {
		return
	}
	q.dropped.Inc()
	bare := *e
	bare.Fields = log.Fields{"node": e.Fields["node"], "fields": "not encodable"}
	_ = q.next.HandleLog(&bare) // an error here means that the output itself fails
}

func (q *queue) stop() {
	close(q.quit)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
