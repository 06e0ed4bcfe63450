package seamdedup

import "sync"

// Attempts records the attempts of idempotent requests that have not been started yet, so that they can be voided. It is safe for
// concurrent use. The zero value is empty.
type Attempts struct {
	mu sync.Mutex
	// voided tells for each attempt that has not been started whether it was voided.
	voided map[uint64]bool
}

// Register records an attempt that waits to be started. Remove must be called when it has ended.
func (a *Attempts) Register(attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.voided == nil {
		a.voided = map[uint64]bool{}
	}
	a.voided[attempt] = false
}

// Start reports whether the attempt may run. It may be started more than once.
func (a *Attempts) Start(attempt uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.voided[attempt] {
		return false
	}
	delete(a.voided, attempt)
	return true
}

// Remove removes an attempt that has ended.
func (a *Attempts) Remove(attempt uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.voided, attempt)
}

// Void guarantees, if it returns Withdrawn, that the attempt has not run and never will. It returns Unknown for an attempt that was
// started, has ended, or has not arrived yet.
func (a *Attempts) Void(attempt uint64) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waiting := a.voided[attempt]; !waiting {
		return Unknown
	}
	a.voided[attempt] = true
	return Withdrawn
}
