package seamlimit_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/route/seamlimit"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamthrottle"
)

func newLimiter(slots int) *seamlimit.Limiter {
	l := seamlimit.New(0, new(seamthrottle.Throttle), metrics.NewSet())
	l.Resize(time.Now(), seamlimit.Capacity{Name: "t", Slots: slots, Connections: 110})
	return l
}

func request(left time.Duration) seamlimit.Request {
	return seamlimit.Request{Caller: "a", Deadline: time.Now().Add(left), MaxQueued: 4}
}

func TestLimiterBoundsRunningAndQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(2)
		ctx := t.Context()
		for range 2 {
			if v := l.Admit(ctx, time.Now(), request(time.Second)); !v.Admitted {
				t.Fatalf("verdict %+v", v)
			}
		}
		waiting := make(chan seamlimit.Verdict, 4)
		for range 4 {
			go func() { waiting <- l.Admit(ctx, time.Now(), request(time.Second)) }()
		}
		synctest.Wait()
		if v := l.Admit(ctx, time.Now(), request(time.Second)); v.Reason != seamoutcome.Full || v.RetryAfter <= 0 {
			t.Errorf("full queue: verdict %+v", v)
		}
		for range 4 {
			l.Done(time.Now(), true, seamlimit.Sample{Latency: time.Millisecond})
			if v := <-waiting; !v.Admitted {
				t.Errorf("verdict %+v", v)
			}
		}
		if load := l.Load(); load.Running != 2 || load.Queued != 0 {
			t.Errorf("load %+v, want 2 running and none queued", load)
		}
	})
}

func TestLimiterRefusesRequestThatCannotMeetDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		l.Admit(t.Context(), time.Now(), request(time.Second))
		l.Done(time.Now(), true, seamlimit.Sample{Latency: 100 * time.Millisecond})
		l.Admit(t.Context(), time.Now(), request(time.Second))
		if v := l.Admit(t.Context(), time.Now(), request(150*time.Millisecond)); v.Reason != seamoutcome.Late {
			t.Errorf("two requests of 100 ms within 150 ms: verdict %+v", v)
		}
		if v := l.Admit(t.Context(), time.Now(), request(0)); v.Reason != seamoutcome.Expired {
			t.Errorf("no time left: verdict %+v", v)
		}
	})
}

func TestWaiterBehindStuckTargetIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		l.Admit(t.Context(), time.Now(), request(time.Second))
		l.Done(time.Now(), true, seamlimit.Sample{Latency: 100 * time.Millisecond})
		l.Admit(t.Context(), time.Now(), request(time.Second))
		begin := time.Now()
		v := l.Admit(t.Context(), begin, request(time.Second))
		if took := time.Since(begin); v.Reason != seamoutcome.Late || took > 960*time.Millisecond {
			t.Errorf("verdict %+v after %v", v, took)
		}
	})
}

func TestLimiterReportsWhyAWaitEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		l.Admit(t.Context(), time.Now(), request(time.Second))
		expiring, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if v := l.Admit(expiring, time.Now(), request(time.Second)); v.Reason != seamoutcome.Expired {
			t.Errorf("verdict %+v at the deadline", v)
		}
		callerCtx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, disconnect)
		if v := l.Admit(callerCtx, time.Now(), request(time.Second)); v.Reason != seamoutcome.Gone {
			t.Errorf("verdict %+v for a caller that disconnected", v)
		}
		if load := l.Load(); load.Queued != 0 {
			t.Errorf("load %+v", load)
		}
	})
}

func TestColdTargetStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := seamlimit.New(10*time.Second, new(seamthrottle.Throttle), metrics.NewSet())
		l.Resize(time.Now(), seamlimit.Capacity{Name: "cold", Slots: 12, Cold: true})
		var got []int
		for range 3 {
			got = append(got, l.Load().Slots)
			time.Sleep(5 * time.Second)
		}
		if got[0] != 1 || got[1] < 5 || got[1] > 7 || got[2] != 12 {
			t.Errorf("slots at 0, 5 and 10 s: %v", got)
		}
	})
}

func TestAdaptiveLimit(t *testing.T) {
	const slots = 12
	feed := func(a *seamlimit.AdaptiveLimit, now time.Time, n int, s seamlimit.Sample) time.Time {
		for range n {
			now = now.Add(5 * time.Millisecond)
			s.Running = a.Limit()
			a.Observe(now, s)
		}
		return now
	}
	steady := seamlimit.Sample{Latency: 10 * time.Millisecond}
	a := seamlimit.NewAdaptiveLimit(slots)
	now := feed(a, start, 400, steady)
	if a.Limit() != slots {
		t.Fatalf("limit %d at steady latency", a.Limit())
	}
	now = feed(a, now, 300, seamlimit.Sample{Latency: 100 * time.Millisecond})
	slow := a.Limit()
	if slow > slots/2 || slow < slots/4 {
		t.Errorf("limit %d when the target is ten times slower", slow)
	}
	now = feed(a, now, 1000, steady)
	if a.Limit() != slots {
		t.Errorf("limit %d after the target recovered", a.Limit())
	}
	now = feed(a, now, 400, seamlimit.Sample{Shed: true})
	if a.Limit() != 1 {
		t.Errorf("limit %d when the target sheds everything", a.Limit())
	}
	feed(a, now, 1000, steady)
	if a.Limit() != slots {
		t.Errorf("limit %d after the target stopped shedding", a.Limit())
	}
}

// TestMixOfShortAndLongRequestsKeepsTheLimit checks that a mix of request durations
// does not count as slowness. It keeps a target busy with requests of which one
// in ten takes thirty times as long as the others.
func TestMixOfShortAndLongRequestsKeepsTheLimit(t *testing.T) {
	const slots, requests = 12, 20_000
	r := rand.New(rand.NewPCG(1, 2))
	a := seamlimit.NewAdaptiveLimit(slots)
	now := start
	var running []time.Time
	startedAt := map[time.Time]time.Time{}
	sum := 0
	for range requests {
		for len(running) < a.Limit() {
			end := now.Add(5*time.Millisecond + time.Duration(len(running)))
			if r.IntN(10) == 0 {
				end = end.Add(145 * time.Millisecond)
			}
			running = append(running, end)
			startedAt[end] = now
		}
		slices.SortFunc(running, time.Time.Compare)
		now = running[0]
		a.Observe(now, seamlimit.Sample{Latency: now.Sub(startedAt[now]), Running: len(running)})
		delete(startedAt, now)
		running = running[1:]
		sum += a.Limit()
	}
	if mean := float64(sum) / requests; mean < 0.95*slots {
		t.Errorf("mean limit %.2f of %d", mean, slots)
	}
}

func TestLimitOfTheTargetBoundsStartsWhateverTheNumberOfSlots(t *testing.T) {
	const rate, length = 50.0, time.Second
	target := seamthrottle.Target{Name: "t"}
	throttle := new(seamthrottle.Throttle)
	begin := time.Now()
	throttle.Announce(begin, seamthrottle.Announcement{Target: target})
	throttle.Hear(begin, seamthrottle.Response{Target: target, Notice: seamthrottle.Notice{Limited: true, Rate: rate}})
	l := seamlimit.New(0, throttle, metrics.NewSet())
	l.Resize(begin, seamlimit.Capacity{Name: "t", Slots: 100})
	var admitted atomic.Int32
	var refusals sync.Map
	var requests sync.WaitGroup
	for range 200 {
		requests.Go(func() {
			now := time.Now()
			v := l.Admit(t.Context(), now, seamlimit.Request{Caller: "c", Deadline: begin.Add(length), MaxQueued: 1000})
			if !v.Admitted {
				refusals.Store(v.Reason, v.RetryAfter)
				return
			}
			admitted.Add(1)
			l.Done(time.Now(), true, seamlimit.Sample{Latency: time.Millisecond})
		})
	}
	requests.Wait()
	most := int32(rate*length.Seconds()) + 1
	if n := admitted.Load(); n > most || n < most*8/10 {
		t.Errorf("%d requests were admitted in %v at a limit of %v a second, want about %d", n, length, rate, most)
	}
	if after, ok := refusals.Load(seamoutcome.Limit); !ok || after.(time.Duration) <= 0 {
		t.Errorf("the refusals don't name the limit and a delay: %v", after)
	}
}
