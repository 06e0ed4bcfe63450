package seamingress

import (
	"time"

	"cardamomseam/internal/route/seamoutcome"
)

// OwnerPatience returns the time for which a request waits for an owner, with or without a table of owners.
func OwnerWaitTimeout(r seamoutcome.Reason, table bool) time.Duration {
	i := &Ingress{}
	if table {
		i.cfg.OwnersChanged = func() <-chan struct{} { return nil }
	}
	return i.ownerPatience(r)
}

// FillWaiting makes the ingress as full as it may be of requests that wait for an owner.
func FillOwnerWaiters(i *Ingress) { i.waiting.Store(ownerWaiters) }

// Waiting returns the number of requests that wait for an owner.
func OwnerWaiters(i *Ingress) int64 { return i.waiting.Load() }

// OwnerWaiters is the number of requests that may wait for an owner.
const MaxOwnerWaiters = ownerWaiters
