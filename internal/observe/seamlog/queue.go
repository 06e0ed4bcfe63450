package seamlog

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// queueLimit is the number of lines that may wait to be written.
	maxQueuedLines = 4096
	// flushTimeout bounds the wait for the last lines when the log stops.
	flushTimeout = time.Second
)

// queue is a log handler that never blocks its callers: lines wait in a bounded queue,
// and those that do not fit are dropped and counted.
type queue struct {
	entries chan *log.Entry
	quit    chan struct{}
	done    chan struct{}
	next    log.Handler
	dropped *metrics.Counter
}

// newQueue starts a queue in front of next; the returned function writes the rest and ends it.
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

// HandleLog queues the entry.
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

// write hands on an entry; one that cannot be encoded is written without its fields.
func (q *queue) write(e *log.Entry) {
	if q.next.HandleLog(e) == nil {
		return
	}
	q.dropped.Inc()
	bare := *e
	bare.Fields = log.Fields{"node": e.Fields["node"], "fields": "not encodable"}
	_ = q.next.HandleLog(&bare) // a closed output leaves nothing to write to
}

func (q *queue) stop() {
	close(q.quit)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
