package seamcall

import (
	"time"

	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamthrottle"
)

// NoticeToWire returns the wire form of a report; nil for nil.
func NoticeToWire(r *seamthrottle.Report) *seamroutewire.Notice {
	if r == nil {
		return nil
	}
	return &seamroutewire.Notice{
		Target:   r.Target.Name,
		Born:     r.Target.Started,
		Limited:  r.Limited,
		Rate:     r.Rate,
		Age:      r.Age.Milliseconds(),
		Leaving:  r.Leaving,
		Since:    r.LeavingAge.Milliseconds(),
		Warmup:   r.WarmupLeft.Milliseconds(),
		Coldrate: r.WarmupRate,
	}
}

// NoticeFromWire returns the report in its wire form.
func NoticeFromWire(n *seamroutewire.Notice) seamthrottle.Report {
	return seamthrottle.Report{
		Target:     seamthrottle.Target{Name: n.GetTarget(), Started: n.GetBorn()},
		Limited:    n.GetLimited(),
		Rate:       n.GetRate(),
		Age:        time.Duration(n.GetAge()) * time.Millisecond,
		Leaving:    n.GetLeaving(),
		LeavingAge: time.Duration(n.GetSince()) * time.Millisecond,
		WarmupLeft: time.Duration(n.GetWarmup()) * time.Millisecond,
		WarmupRate: n.GetColdrate(),
	}
}
