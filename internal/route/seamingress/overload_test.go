package seamingress_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamadmit"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
)

// All ingresses of a large fleet get requests for one key, many times what its owner serves. The owner must not be asked for each of
// them, and still be asked for more than it serves.
func TestOwnerOfAnOverloadedKeyIsNotAskedForEachRequest(t *testing.T) {
	const (
		ingresses = 295
		rate      = 800
		seconds   = 20
		hotKey    = 7
		// served is the number of requests a second that the owner serves.
		served = 41
		// maxAsked is the number of requests a second that a small machine may be asked for beside its other work.
		maxAsked = 300
	)
	var known [ingresses]seamingress.Overloads
	for i := range known {
		known[i] = seamingress.NewOverloads()
	}
	overloaded := seamoutcome.NewRefused(seamoutcome.Late, "")
	overloaded.RetryAfter = seamadmit.OverloadedRetryAfter
	asked, admitted, first := 0, 0, 0
	for n := range rate * seconds {
		at := time.Duration(n) * time.Second / rate
		now := time.Unix(1000, 0).Add(at)
		ingress := known[n%ingresses]
		if !ingress.Asks(now, hotKey) {
			continue
		}
		asked++
		if at < 2*time.Second {
			first++
		}
		if float64(admitted) < served*at.Seconds() {
			admitted++
			ingress.Observe(now, hotKey, seamoutcome.End{Outcome: seamoutcome.Done})
			continue
		}
		ingress.Observe(now, hotKey, overloaded)
	}
	perSecond := (asked - first) / (seconds - 2)
	if perSecond > maxAsked || perSecond < 2*served {
		t.Errorf("the owner is asked for %d requests a second, want %d to %d", perSecond, 2*served, maxAsked)
	}
	if share := float64(admitted) / (served * seconds); share < 0.95 {
		t.Errorf("the owner serves %.2f of what it can", share)
	}
}

// A refusal that tells when a slot is expected, or one for another key, doesn't keep requests from the owner.
func TestOwnerIsAskedUnlessTheKeyIsOverloaded(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := func(r seamoutcome.Reason, retryAfter time.Duration) seamoutcome.End {
		end := seamoutcome.NewRefused(r, "")
		end.RetryAfter = retryAfter
		return end
	}
	for name, tt := range map[string]struct {
		ends []seamoutcome.End
		slot uint32
		want bool
	}{
		"overloaded":          {[]seamoutcome.End{refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter)}, 7, false},
		"another key":         {[]seamoutcome.End{refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter)}, 8, true},
		"slot expected":       {[]seamoutcome.End{refused(seamoutcome.Late, time.Second)}, 7, true},
		"owner changes":       {[]seamoutcome.End{refused(seamoutcome.Owner, seamadmit.OverloadedRetryAfter)}, 7, true},
		"served again":        {[]seamoutcome.End{refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter), {Outcome: seamoutcome.Done}}, 7, true},
		"refused once more":   {[]seamoutcome.End{refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter), refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter)}, 7, false},
		"late, then no owner": {[]seamoutcome.End{refused(seamoutcome.Late, seamadmit.OverloadedRetryAfter), refused(seamoutcome.Owner, 0)}, 7, false},
	} {
		o := seamingress.NewOverloads()
		for _, end := range tt.ends {
			o.Observe(now, 7, end)
		}
		if got := o.Asks(now.Add(100*time.Millisecond), tt.slot); got != tt.want {
			t.Errorf("%s: asked %t, want %t", name, got, tt.want)
		}
		if !o.Asks(now.Add(2*time.Second), tt.slot) {
			t.Errorf("%s: not asked after 2s", name)
		}
	}
}
