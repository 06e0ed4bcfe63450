package seamegress

import "context"

// enter counts a request in, unless the egress is draining.
func (e *Egress) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inFlight++
	return true
}

func (e *Egress) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.closeIfIdle()
}

func (e *Egress) closeIfIdle() {
	if !e.draining || e.inFlight > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// InFlight returns the number of requests that were accepted and have not ended.
func (e *Egress) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Drain refuses new requests from now on and waits until those in flight ended
// or ctx did, whose error it returns.
func (e *Egress) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.closeIfIdle()
	e.mu.Unlock()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
