package seamingress

import (
	"net/http"
	"sync"
	"time"
)

// bodySilence is the time without a byte of a body after which reading it fails. Operators allow callers to be idle for 15 s.
const bodySilence = 20 * time.Second

// readDeadline limits the time in which a caller sends the body of a request: that of the whole body, and that without a byte.
type readDeadline struct {
	rc *http.ResponseController
	// whole is the deadline of the whole body.
	whole time.Time

	mu sync.Mutex
	// stopped means that the deadline is no longer set.
	stopped bool
}

// extend sets the deadline of the next read. Connections without read deadlines, as in tests, block without a time limit.
func (d *readDeadline) extend(now time.Time) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	next := now.Add(bodySilence)
	if d.whole.Before(next) {
		next = d.whole
	}
	_ = d.rc.SetReadDeadline(next)
}

// remove removes the deadline, after the end of the body.
func (d *readDeadline) remove() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.stopped = true
		_ = d.rc.SetReadDeadline(time.Time{})
	}
}

// interrupt ends a read that is waiting, and all later ones.
func (d *readDeadline) interrupt() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	_ = d.rc.SetReadDeadline(time.Unix(1, 0))
}
