package seamguard_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/platform/seamguard"
)

var start = time.Unix(1_700_000_000, 0)

// ignore takes no notice that a connection is closed for another one.
func ignore() {}

// TestLongestWaitingConnectionGivesWay guards against connections without a request that keep all others from the node, and against a
// new connection that closes one with a request.
func TestLongestWaitingConnectionGivesWay(t *testing.T) {
	const limit = 64
	g := seamguard.New(1, metrics.NewSet(), nil)
	evicted := map[int]bool{}
	for i := range limit {
		c, ok := g.Admit(start.Add(time.Duration(i)*time.Millisecond), func() { evicted[i] = true })
		if !ok {
			t.Fatalf("connection %d was not admitted", i)
		}
		if i == 0 && !c.Begin(start, http.Header{}) {
			t.Fatal("the request has no memory")
		}
	}
	if _, ok := g.Admit(start.Add(100*time.Millisecond), ignore); ok || len(evicted) > 0 {
		t.Errorf("a connection took the place of one that has hardly waited: %v", evicted)
	}
	if _, ok := g.Admit(start.Add(time.Second), ignore); !ok || !evicted[1] || len(evicted) != 1 {
		t.Errorf("admitted %v, closed %v, want the second one", ok, evicted)
	}
	if n := g.Connections(); n != limit {
		t.Errorf("%d connections", n)
	}
}

// TestHeadIsChargedWhileItIsRead guards against heads without end or with very many fields that take more than the budget.
func TestHeadIsChargedWhileItIsRead(t *testing.T) {
	g := seamguard.New(1, metrics.NewSet(), nil)
	c, _ := g.Admit(start, ignore)
	block, read := make([]byte, 4<<10), 0
	for i := range block {
		block[i] = '\n'
	}
	for c.Read(start, block) {
		if read++; read > 1000 {
			t.Fatal("a head without end has no limit")
		}
	}
	c.End()
	if n := g.Reserved(); n != 0 {
		t.Errorf("%d bytes stay reserved", n)
	}
}

// TestBodyIsNotChargedAsHead guards against a body that ends its connection because the limits of heads apply to it.
func TestBodyIsNotChargedAsHead(t *testing.T) {
	g := seamguard.New(1, metrics.NewSet(), nil)
	c, _ := g.Admit(start, ignore)
	if !c.Begin(start, http.Header{"A": {"b"}}) {
		t.Fatal("the request has no memory")
	}
	before := g.Reserved()
	for range 10_000 {
		if !c.Read(start, make([]byte, 64<<10)) {
			t.Fatal("a body has the limits of a head")
		}
	}
	if g.Reserved() != before {
		t.Error("a body is charged")
	}
}

// TestNothingStaysReserved guards against a leak of the budget, or a budget that is exceeded, in any order of events.
func TestNothingStaysReserved(t *testing.T) {
	const budget = 8 << 20
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		g := seamguard.New(1, metrics.NewSet(), nil)
		var conns []*seamguard.Conn
		now, bodies := start, int64(0)
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			if len(conns) == 0 || random.IntN(3) == 0 {
				if c, ok := g.Admit(now, ignore); ok {
					conns = append(conns, c)
				}
				continue
			}
			c := conns[random.IntN(len(conns))]
			switch random.IntN(5) {
			case 0:
				c.Read(now, make([]byte, random.IntN(64<<10)))
			case 1:
				c.Begin(now, http.Header{"X": make([]string, random.IntN(2000))})
			case 2:
				c.Idle(now)
			case 3:
				c.End()
			case 4:
				if n := random.Int64N(1 << 20); g.Reserve(now, seamguard.Bodies, n) {
					bodies += n
				}
			}
			if n := g.Reserved(); n < 0 || n > budget {
				t.Fatalf("seed %d: %d bytes are reserved", seed, n)
			}
		}
		for _, c := range conns {
			c.End()
		}
		g.Release(bodies)
		if g.Reserved() != 0 || g.Connections() != 0 {
			t.Fatalf("seed %d: %d bytes and %d connections stay", seed, g.Reserved(), g.Connections())
		}
	}
}

// TestReportsAreBounded guards against a log line for each request of a crowd.
func TestReportsAreBounded(t *testing.T) {
	reports, times := 0, 0
	g := seamguard.New(1, metrics.NewSet(), func(_ time.Time, _ seamguard.Limit, n int) { reports, times = reports+1, times+n })
	for i := range 1000 {
		g.Reserve(start.Add(time.Duration(i)*10*time.Millisecond), seamguard.Bodies, 1<<30)
	}
	if reports != 2 {
		t.Errorf("%d reports about %d times in 10 s, want 2", reports, times)
	}
}
