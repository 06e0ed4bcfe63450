package seamingress

// FillWaiting makes the ingress as full as it may be of requests that wait for an owner.
func FillWaiting(i *Ingress) { i.waiting.Store(ownerWaiters) }

// Waiting returns the number of requests that wait for an owner.
func Waiting(i *Ingress) int64 { return i.waiting.Load() }

// OwnerWaiters is the number of requests that may wait for an owner.
const OwnerWaiters = ownerWaiters
