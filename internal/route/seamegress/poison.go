package seamegress

import (
	"context"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampoison"
)

// addAnswer records that the target has answered the request.
func (c *call) addAnswer(now time.Time) {
	if c.egress.cfg.Poison == nil {
		return
	}
	f, known := c.fingerprint()
	if known && c.egress.cfg.Poison.AddAnswer(now, seampoison.Key{Service: c.announced.Service, Fingerprint: f}) {
		c.egress.events.Emit(now, seamevent.PoisonCleared, seamevent.Fields{
			"fingerprint": f.String(), "service": c.announced.Service, "target": c.announced.Name, "id": c.head.GetRequest(), "path": c.head.GetPath(),
		})
	}
}

// mayBePoison reports whether something may be known about requests like this one.
func (c *call) mayBePoison() bool {
	guard := c.egress.cfg.Poison
	return guard != nil && !guard.Empty() && guard.MayConcern(seampoison.HeadDigest(c.head))
}

// fingerprint returns the fingerprint of the request, and false if too little of its body has arrived.
func (c *call) fingerprint() (seampoison.Fingerprint, bool) {
	prefix, known := c.bodyPrefix()
	return seampoison.NewFingerprint(seampoison.HeadDigest(c.head), prefix), known
}

func (c *call) description() seampoison.Description {
	return seampoison.Description{Path: c.head.GetPath(), Caller: c.head.GetOrigin()}
}

// quarantined returns the refusal of a request that is kept from the targets; nil if it may be sent.
func (c *call) quarantined(now time.Time) *seamoutcome.End {
	if c.trial || !c.mayBePoison() {
		return nil
	}
	f, known := c.fingerprint()
	if !known {
		return nil
	}
	verdict := c.egress.cfg.Poison.Check(now, seampoison.Key{Service: c.announced.Service, Fingerprint: f})
	if !verdict.Refused {
		return nil
	}
	end := verdict.Refusal(f)
	return &end
}

// beginTrial makes a quarantined request whose body the ingress has not seen a trial, if one is due. The ingress begins those of other
// requests.
func (c *call) beginTrial(ctx context.Context) {
	if c.head.GetWhole() || c.trial || !c.mayBePoison() {
		return
	}
	if f, known := c.fingerprint(); known {
		_, c.trial = c.egress.cfg.Poison.Admit(ctx, time.Now(), seampoison.Key{Service: c.announced.Service, Fingerprint: f}, c.description())
	}
}
