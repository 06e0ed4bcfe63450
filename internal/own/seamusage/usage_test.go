package seamusage_test

import (
	"math"
	"testing"
	"time"

	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/own/seamusage"
)

var start = time.Unix(1000, 0)

// simulate counts requests at the given rate for the given number of seconds, and returns the end time.
func simulate(u *seamusage.Usage, key uint32, rate, seconds int) time.Time {
	now := start
	for range rate * seconds {
		now = now.Add(time.Second / time.Duration(rate))
		u.Count(now, key)
	}
	return now
}

func TestRateFollowsTheRequests(t *testing.T) {
	u := seamusage.New()
	now := simulate(u, 7, 50, 60)
	all := []seamtable.Range{{Span: seamtable.Span{From: 0, To: seamtable.LastKey}}}
	if _, rate := u.Chunks(now, all, math.Inf(1)); math.Abs(rate-50) > 2 {
		t.Errorf("rate is %.1f, want 50", rate)
	}
	if _, rate := u.Chunks(now.Add(20*time.Second), all, math.Inf(1)); rate > 0.1 {
		t.Errorf("rate is %.2f 20 seconds after the last request, want at most 0.1", rate)
	}
}

func TestHotKeyGetsItsOwnChunk(t *testing.T) {
	u := seamusage.New()
	now := start
	for i := range 2000 {
		now = now.Add(2 * time.Millisecond)
		u.Count(now, 100)
		if i%4 == 0 {
			u.Count(now, uint32(i%1000))
		}
	}
	chunks, _ := u.Chunks(now, []seamtable.Range{{Span: seamtable.Span{From: 0, To: 999}}}, 50)
	keys := 0
	found := false
	for _, c := range chunks {
		keys += c.Len()
		// Keys 101 to 103 receive no requests.
		found = found || c.From == 100 && c.To <= 103
	}
	if keys != 1000 {
		t.Errorf("chunks cover %d of 1000 keys", keys)
	}
	if !found {
		t.Errorf("the hot key is not a chunk of its own: %v", chunks)
	}
}
