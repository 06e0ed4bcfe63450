package seamlimit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/route/seamlimit"
)

var start = time.Unix(1000, 0)

func waiter(caller string, ms int) *seamlimit.Waiter {
	return &seamlimit.Waiter{Caller: caller, Deadline: start.Add(time.Duration(ms) * time.Millisecond)}
}

func TestQueueServesCallersRoundRobinByDeadline(t *testing.T) {
	q := seamlimit.NewQueue()
	for _, ms := range []int{30, 10, 20} {
		q.Push(waiter("greedy", ms), 10)
	}
	q.Push(waiter("modest", 90), 10)
	var got []int64
	for w := q.Pop(); w != nil; w = q.Pop() {
		got = append(got, w.Deadline.Sub(start).Milliseconds())
	}
	if d := cmp.Diff([]int64{10, 90, 20, 30}, got); d != "" {
		t.Error(d)
	}
}

func TestFullQueueEvictsFromCallerWithMostWaiters(t *testing.T) {
	q := seamlimit.NewQueue()
	for ms := range 4 {
		q.Push(waiter("greedy", ms), 4)
	}
	evicted, ok := q.Push(waiter("modest", 50), 4)
	if !ok || evicted == nil || evicted.Caller != "greedy" || evicted.Deadline != start.Add(3*time.Millisecond) {
		t.Errorf("evicted %v, added %t, want the waiter of the greedy caller with the latest deadline evicted", evicted, ok)
	}
	if evicted, ok = q.Push(waiter("greedy", 1), 4); ok || evicted != nil {
		t.Errorf("the caller with the most waiters was added to a full queue (evicted %v)", evicted)
	}
	if q.Len() != 4 {
		t.Errorf("%d waiters", q.Len())
	}
}

func TestQueueRemove(t *testing.T) {
	q := seamlimit.NewQueue()
	a, b := waiter("a", 1), waiter("a", 2)
	q.Push(a, 4)
	q.Push(b, 4)
	if !q.Remove(a) || q.Remove(a) || q.Len() != 1 || q.Pop() != b {
		t.Error("a waiter was not removed exactly once")
	}
}
