package seamingress

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

// OwnerWaitTimeout returns how long a request waits for an owner after a refusal with the reason. notified means that
// the ingress is notified of owner changes.
func OwnerWaitTimeout(r seamoutcome.Reason, notified bool) time.Duration {
	i := &Ingress{}
	if notified {
		i.cfg.OwnersChanged = func() <-chan struct{} { return nil }
	}
	return i.ownerWaitTimeout(r)
}

// FillOwnerWaiters sets the counter of requests that wait for an owner to its limit; no requests wait.
func FillOwnerWaiters(i *Ingress) { i.ownerWaiters.Store(maxOwnerWaiters) }

// OwnerWaiters returns the number of requests that wait for an owner.
func OwnerWaiters(i *Ingress) int64 { return i.ownerWaiters.Load() }

// MaxOwnerWaiters is the limit on the number of requests that wait for an owner.
const MaxOwnerWaiters = maxOwnerWaiters

// SpendsRetry reports whether a request that may be retried once spends the retry after the end of an attempt.
func SpendsRetry(i *Ingress, keyed bool, end seamoutcome.End) bool {
	x := &exchange{ingress: i, deadline: time.Now().Add(time.Minute)}
	x.decision.Keyed, x.decision.Limits.Retries = keyed, 1
	_, retry := x.spendRetry(end, seampeer.Peer{}, i.cfg.Budget("booker"))
	return retry
}

// ChooseNode returns the node for the first attempt at a request with the decision, and whether there is one.
func ChooseNode(i *Ingress, decision seamrule.Decision, requestID string) (seampeer.Peer, bool) {
	x := &exchange{
		ingress: i, service: "booker", decision: decision, callerRequestID: requestID, deadline: time.Now().Add(time.Minute),
		head: &seamroutewire.RequestHead{Slot: decision.Slot, Keyed: decision.Keyed}, body: &requestBody{fullyBuffered: true},
	}
	return x.chooseNode()
}

// Overloads are the overloaded keys of an ingress.
type Overloads struct{ overloads *overloads }

// NewOverloads returns an empty set of overloaded keys.
func NewOverloads() Overloads { return Overloads{newOverloads()} }

// Asks reports whether the owner of a key is asked.
func (o Overloads) Asks(now time.Time, slot uint32) bool {
	_, refused := o.overloads.refusal(now, serviceKey{"booker", slot})
	return !refused
}

// Observe records the end of an attempt at the owner of a key.
func (o Overloads) Observe(now time.Time, slot uint32, end seamoutcome.End) {
	o.overloads.observe(now, serviceKey{"booker", slot}, end)
}

// SetOwnersChanged sets the function that notifies of changes of owners.
func SetOwnersChanged(i *Ingress, f func() <-chan struct{}) { i.cfg.OwnersChanged = f }
