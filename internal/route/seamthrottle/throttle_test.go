package seamthrottle_test

import (
	"testing"
	"time"

	"cardamomseam/internal/route/seamthrottle"
)

var (
	start  = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	target = seamthrottle.Target{Name: "t", Started: 7}
)

// at returns the time the given number of milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func limitOf(rate float64) seamthrottle.Notice {
	return seamthrottle.Notice{Limited: true, Rate: rate}
}

// newThrottle returns the throttle of a node whose target has stated the limit at start.
func newThrottle(rate float64) *seamthrottle.Throttle {
	t := new(seamthrottle.Throttle)
	t.Announce(start, seamthrottle.Announcement{Target: target})
	t.Hear(start, response(start.Add(-time.Second), limitOf(rate)))
	return t
}

// response returns the response of the target to a request that was sent at the given time.
func response(sent time.Time, n seamthrottle.Notice) seamthrottle.Response {
	return seamthrottle.Response{Target: target, Sent: sent, Notice: n}
}

func TestThrottleWithoutLimitPermitsAll(t *testing.T) {
	var throttle seamthrottle.Throttle
	for range 1000 {
		if !throttle.Take(start) || throttle.Wait(start, 100) != 0 {
			t.Fatal("a request must wait although no limit is known")
		}
	}
}

func TestStatedLimitBoundsStarts(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 1, 12.8, 500, 1e300} {
		throttle := newThrottle(rate)
		const seconds = 20
		started := 0
		for i := range seconds * 1000 {
			for n := 0; n < 10 && throttle.Take(at(i)); n++ {
				started++
			}
		}
		effective := max(rate, 0.2)
		if most := effective*seconds*1.02 + effective/4 + 1; float64(started) > most {
			t.Errorf("%d requests started in %d s at a limit of %v a second", started, seconds, rate)
		}
		if least := min(effective*seconds*0.95-1, 9.5*seconds*1000); float64(started) < least {
			t.Errorf("only %d requests started in %d s at a limit of %v a second", started, seconds, rate)
		}
	}
}

func TestWaitEndsWhenTheNextRequestMayStart(t *testing.T) {
	throttle := newThrottle(3)
	now := start
	for range 10 {
		wait := throttle.Wait(now, 0)
		if wait > 0 && throttle.Take(now.Add(wait-time.Millisecond)) {
			t.Fatal("a request started before its wait had ended")
		}
		now = now.Add(wait)
		if !throttle.Take(now) {
			t.Fatal("no request may start after the wait")
		}
	}
}

func TestOnlyALaterResponseThatRanRaisesOrEndsTheLimit(t *testing.T) {
	tests := []struct {
		name     string
		sent     int
		rejected bool
		notice   seamthrottle.Notice
		want     seamthrottle.Notice
	}{
		{"sent before, nothing stated", -100, false, seamthrottle.Notice{}, limitOf(10)},
		{"sent before, higher", -100, false, limitOf(20), limitOf(10)},
		{"sent before, lower", -100, false, limitOf(5), limitOf(5)},
		{"sent after, nothing stated", 100, false, seamthrottle.Notice{}, seamthrottle.Notice{}},
		{"sent after, higher", 100, false, limitOf(20), limitOf(20)},
		{"sent after, invalid", 100, false, seamthrottle.Notice{Invalid: "x"}, limitOf(10)},
		{"rejected, nothing stated", 100, true, seamthrottle.Notice{}, limitOf(10)},
		{"rejected, higher", 100, true, limitOf(20), limitOf(10)},
		{"rejected, lower", 100, true, limitOf(5), limitOf(5)},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			throttle := newThrottle(10)
			r := response(at(x.sent), x.notice)
			r.Rejected = x.rejected
			throttle.Hear(at(200), r)
			if s := throttle.State(); s.Limited != x.want.Limited || s.Rate != x.want.Rate {
				t.Fatalf("got %+v, want %+v", s, x.want)
			}
		})
	}
}

func TestAnotherIncarnationHasNoLimit(t *testing.T) {
	throttle := newThrottle(1)
	restarted := seamthrottle.Target{Name: target.Name, Started: target.Started + 1}
	throttle.Announce(at(100), seamthrottle.Announcement{Target: restarted})
	throttle.Hear(at(100), response(at(50), limitOf(1)))
	if throttle.Limited(at(100)) {
		t.Fatal("the limit of the incarnation before applies")
	}
}

func TestLimitOfZeroEndsWithAResponseWithoutIt(t *testing.T) {
	throttle := newThrottle(0)
	now := start.Add(throttle.Wait(start, 0))
	if !throttle.Take(now) {
		t.Fatal("no request may ever start")
	}
	throttle.Hear(now.Add(time.Second), response(now, seamthrottle.Notice{}))
	if throttle.Limited(now.Add(time.Second)) {
		t.Fatal("the limit did not end")
	}
}

func TestReportOfAnotherNodeCountsOnlyUntilTheTargetIsHeard(t *testing.T) {
	report := seamthrottle.Report{Target: target, Limited: true, Rate: 4, Age: time.Second}
	throttle := new(seamthrottle.Throttle)
	throttle.Announce(start, seamthrottle.Announcement{Target: target})
	other := report
	other.Target.Started++
	if throttle.Learn(start, "n2", other) {
		t.Error("the report about another incarnation was used")
	}
	if !throttle.Learn(start, "n2", report) || !throttle.Limited(start) {
		t.Error("the report was not used")
	}
	if report.Rate = 2; !throttle.Learn(start, "n3", report) {
		t.Error("the lower limit in another report was not used")
	}
	throttle.Hear(at(500), response(at(100), seamthrottle.Notice{}))
	if throttle.Learn(at(600), "n2", report) || throttle.Limited(at(600)) {
		t.Error("a report was used although the target had been heard")
	}
}

func TestOldReportIsIgnoredOnceTheTargetAnsweredWithoutALimit(t *testing.T) {
	throttle := new(seamthrottle.Throttle)
	throttle.Announce(start, seamthrottle.Announcement{Target: target})
	throttle.Hear(at(500), response(at(100), seamthrottle.Notice{}))
	old := seamthrottle.Report{Target: target, Limited: true, Rate: 0.2, Age: time.Minute}
	if throttle.Learn(at(600), "n2", old) || throttle.Wait(at(600), 0) > 0 {
		t.Error("requests wait because of a limit that has ended: a node that heard of no end has passed it on")
	}
}

func TestRequestThatWasAdmittedLongAgoCountsAgain(t *testing.T) {
	throttle := newThrottle(1)
	admitted := at(1000)
	if !throttle.Take(admitted) {
		t.Fatal("not admitted")
	}
	if !throttle.Confirm(admitted.Add(400*time.Millisecond), admitted) {
		t.Error("a request that was admitted 400 ms ago may not start")
	}
	if throttle.Confirm(admitted.Add(600*time.Millisecond), admitted) {
		t.Error("a request that was admitted 600 ms ago started without being counted again")
	}
	if throttle.Confirm(at(1100), start.Add(-time.Second)) {
		t.Error("a request that was admitted before the limit applied started without being counted")
	}
}

func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	const rate, callers = 50.0, 1000
	throttle := newThrottle(rate)
	returns := map[int]int{}
	for range callers {
		delay := throttle.RetryAfter(start, 0, time.Minute)
		returns[int(delay/(100*time.Millisecond))]++
	}
	for slot, n := range returns {
		if n > rate/10+1 {
			t.Errorf("%d callers return in the 100 ms after %d ms, at a limit of %v a second", n, slot*100, rate)
		}
	}
	// Callers whose deadline comes first do not return, so that nothing is kept for them.
	short := newThrottle(rate)
	for range callers {
		short.RetryAfter(start, 0, time.Millisecond)
	}
	if delay := short.RetryAfter(start, 0, time.Minute); delay > 100*time.Millisecond {
		t.Errorf("the next caller is told to wait %v for starts that nobody uses", delay)
	}
}

func TestReportsKeepWhatTheTargetOfANodeStated(t *testing.T) {
	var reports seamthrottle.Reports
	limited := seamthrottle.Report{Target: target, Limited: true, Rate: 4}
	reports.Record(start, "n1", limited)
	if r, ok := reports.For(at(500), "n1"); !ok || r.Rate != 4 || r.Age != 500*time.Millisecond {
		t.Errorf("got %+v, %v", r, ok)
	}
	reports.Record(at(600), "n1", seamthrottle.Report{Target: target, Age: time.Second})
	if _, ok := reports.For(at(600), "n1"); !ok {
		t.Error("a report that is older ended the limit")
	}
	leaving := seamthrottle.Report{Target: target, Leaving: true, LeavingAge: time.Second}
	reports.Record(at(1000), "n1", leaving)
	reports.Record(at(2000), "n1", seamthrottle.Report{Target: target})
	if r, ok := reports.For(at(2000), "n1"); !ok || r.Limited || !r.Leaving || r.LeavingAge != 2*time.Second {
		t.Errorf("got %+v, %v, want a target that is leaving since 2 s", r, ok)
	}
	next := seamthrottle.Target{Name: "u"}
	reports.Record(at(3000), "n1", seamthrottle.Report{Target: next})
	if r, ok := reports.For(at(3000), "n1"); ok {
		t.Errorf("got %+v about a target that has been replaced", r)
	}
}
