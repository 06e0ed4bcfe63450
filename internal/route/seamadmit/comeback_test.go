package seamadmit_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/route/seamadmit"
)

// visitor is a caller that comes back when it was told to, twice at most.
type visitor struct {
	objective, deadline time.Time
	comebacks           int
	// asked is the time of the last request.
	asked time.Time
}

// event is something that happens to a request of a played load at a time: it arrives, or it ends.
type event struct {
	at  time.Time
	id  uint64
	end bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for package heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// crowd is what became of the visitors.
type crowd struct {
	prompt, late, lost, refusals int
	// held is the time for which refused requests waited, in all.
	held time.Duration
}

// worth counts a prompt answer as one and a late one as three tenths.
func (c crowd) worth() float64 {
	return (float64(c.prompt) + 0.3*float64(c.late)) / float64(c.prompt+c.late+c.lost)
}

// playObjective is the time within which an answer is prompt.
const playObjective = 600 * time.Millisecond

// playCrowd plays so many visitors at a load, in parts of what the target can run. The load swings by a
// third every eight seconds.
func playCrowd(visitors int, load float64) crowd {
	const (
		slots     = 9
		service   = 350 * time.Millisecond
		deadline  = 4 * time.Second
		comebacks = 2
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := seamadmit.NewQueue(slots)
	q.Observe(0, service)
	start := time.Unix(1000, 0)
	all := map[uint64]*visitor{}
	next := &events{}
	at := start
	for id := range uint64(visitors) {
		part := load
		if at.Sub(start)/(4*time.Second)%2 == 0 {
			part *= 4.0 / 3
		} else {
			part *= 2.0 / 3
		}
		at = at.Add(time.Duration(random.ExpFloat64() * float64(service) / slots / part))
		all[id] = &visitor{objective: at.Add(playObjective), deadline: at.Add(deadline)}
		heap.Push(next, event{at: at, id: id})
	}
	var c crowd
	for next.Len() > 0 {
		e := heap.Pop(next).(event)
		v := all[e.id]
		var decisions []seamadmit.Decision
		if e.end {
			decisions = q.Done(e.at)
			if e.at.After(v.objective) {
				c.late++
			} else {
				c.prompt++
			}
		} else {
			v.asked = e.at
			decisions = q.Submit(e.at, e.id, seamadmit.Request{Objective: v.objective, Deadline: v.deadline, Pinned: true})
		}
		decisions = append(decisions, q.Tick(e.at)...)
		for _, d := range decisions {
			w := all[d.ID]
			if d.Admitted {
				took := time.Duration(float64(service) * (0.5 + random.Float64()))
				heap.Push(next, event{at: e.at.Add(took), id: d.ID, end: true})
				continue
			}
			c.refusals++
			c.held += e.at.Sub(w.asked)
			back := e.at.Add(d.RetryAfter)
			if w.comebacks == comebacks || !back.Before(w.deadline) {
				c.lost++
				continue
			}
			w.comebacks++
			heap.Push(next, event{at: back, id: d.ID})
		}
	}
	return c
}

// served returns the part of the visitors that the slots can serve at a load that swings by a third.
func served(load float64) float64 {
	high, low := 4.0/3*load, 2.0/3*load
	return 2.0/3*min(1, 1/high) + 1.0/3*min(1, 1/low)
}

// TestCallersThatComeBackAreServedOrToldAtOnce plays callers that come back twice, at loads around what the
// target can run. Requests that can't be prompt must not take the turns of those that can, nor wait for long
// before they are refused.
func TestCallersThatComeBackAreServedOrToldAtOnce(t *testing.T) {
	for _, load := range []float64{0.6, 0.8, 1.0, 1.3, 1.8} {
		c := playCrowd(4000, load)
		if want := 0.9 * served(load); c.worth() < want {
			t.Errorf("load %.1f: answers are worth %.3f, want %.3f", load, c.worth(), want)
		}
		if mean := c.held / time.Duration(max(c.refusals, 1)); mean > playObjective/8 {
			t.Errorf("load %.1f: refused requests were held for %s on the mean", load, mean)
		}
	}
}
