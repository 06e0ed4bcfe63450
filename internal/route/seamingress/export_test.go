package seamingress

import (
	"time"

	"cardamomseam/internal/route/seamoutcome"
)

// OwnerWaitTimeout returns how long a request waits for an owner after a refusal with the reason, with or without
// notifications of owner changes.
func OwnerWaitTimeout(r seamoutcome.Reason, table bool) time.Duration {
	i := &Ingress{}
	if table {
		i.cfg.OwnersChanged = func() <-chan struct{} { return nil }
	}
	return i.ownerWaitTimeout(r)
}

// FillOwnerWaiters sets the number of requests that wait for an owner to its limit.
func FillOwnerWaiters(i *Ingress) { i.ownerWaiters.Store(maxOwnerWaiters) }

// OwnerWaiters returns the number of requests that wait for an owner.
func OwnerWaiters(i *Ingress) int64 { return i.ownerWaiters.Load() }

// MaxOwnerWaiters is the limit on the number of requests that wait for an owner.
const MaxOwnerWaiters = maxOwnerWaiters
