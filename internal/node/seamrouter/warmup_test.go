package seamrouter_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	// coldRate is the number of requests per second that a cold target in these tests can handle.
	coldRate = 6.0
	// coldWindow is the span in which a cold target counts requests; coldFactor and coldSlack bound those that don't crash it.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 8
)

// writeColdRate writes routes whose unkeyed service states coldRate, and waits until all nodes have them.
func (f *fleet) writeColdRate(revision int64, warmup time.Duration) {
	f.t.Helper()
	d := f.routes(revision)
	for i := range d.Services {
		d.Services[i].WarmupRate, d.Services[i].Warmup = coldRate, warmup
	}
	f.store.Put(routesKey, f.encodeRoutes(d))
	for _, n := range f.nodes {
		f.await("routes with a rate for cold targets", func() bool { return n.State(time.Now()).Routes >= revision })
	}
}

// repeatAnnouncements announces the node's target every 200 ms: cold until the given time. It returns a function that stops that.
func (f *fleet) repeatAnnouncements(n *node, coldUntil time.Time) (stop func()) {
	ended := make(chan struct{})
	var announcing sync.WaitGroup
	announce := func() {
		n.sequence++
		err := n.announce.Announce(time.Now(), seamtarget.Announcement{
			Service: n.target.service, Name: n.target.name, Address: n.target.address(), MaxConcurrency: 8, Started: n.target.started, Sequence: n.sequence,
			Capabilities: []string{seamtarget.CanFence}, WarmupLeft: time.Until(coldUntil),
		})
		if err != nil {
			f.t.Error(err)
		}
	}
	announce()
	announcing.Go(func() {
		for {
			select {
			case <-time.After(200 * time.Millisecond):
				announce()
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		announcing.Wait()
	}
}

// mostWhileCold returns the most arrivals within any coldWindow that begin and end before the given time.
func mostWhileCold(arrivals []arrival, until time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		if a.at.After(until) {
			break
		}
		for a.at.Sub(arrivals[first].at) > coldWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A target that has started again got its normal share from all nodes; at most one second of it may be more than it can handle.
func TestColdTargetGetsItsRateFromAllNodesAndOthersServeTheRest(t *testing.T) {
	const warmup, perSecond = 4 * time.Second, 20
	f := newFleet(t, plainService, plainService, plainService)
	f.writeColdRate(2, warmup)
	for _, n := range f.nodes {
		f.await("service", func() bool {
			res, err := f.send(n, http.MethodGet, "/book/x", "")
			return err == nil && res.status == http.StatusOK
		})
	}
	n := f.nodes[0]
	p := f.press(f.nodes, perSecond, "/book/x?work=50ms", "", "")
	time.Sleep(time.Second)
	// The target starts again while requests arrive.
	n.target.started++
	n.target.recordArrivals()
	coldUntil := time.Now().Add(warmup)
	stop := f.repeatAnnouncements(n, coldUntil)
	time.Sleep(warmup / 2)
	// Its node starts again; the first announcement decides.
	stop()
	n.stop()
	f.startProcess(n)
	stop = f.repeatAnnouncements(n, coldUntil)
	time.Sleep(time.Until(coldUntil) + 3*time.Second)
	p.stop()
	stop()
	if most := mostWhileCold(n.target.recorded(), coldUntil); float64(most) > coldFactor*coldRate+coldSlack {
		t.Errorf("the cold target got %d requests in one second", most)
	}
	cold, warm := 0, 0
	for _, a := range n.target.recorded() {
		switch {
		case a.at.Before(coldUntil):
			cold++
		case a.at.After(coldUntil.Add(2 * time.Second)):
			warm++
		}
	}
	if float64(cold) > 1.2*coldRate*warmup.Seconds()+coldSlack || warm < 5 {
		t.Errorf("the target got %d requests in %v while cold and %d in the last second; statuses %v", cold, warmup, warm, p.statuses)
	}
	t.Logf("%d while cold, %d in a second afterwards; statuses %v, reasons %v", cold, warm, p.statuses, p.reasons)
}

// When all targets of a service start again at once, each must get its rate, also before its announcement arrives, and the store has
// no part in it.
func TestAllTargetsColdAtOnceServeTheirRatesAndTheRestIsRefused(t *testing.T) {
	const warmup, perSecond, unannounced = 3 * time.Second, 30, 800 * time.Millisecond
	f := newFleet(t, plainService, plainService, plainService)
	f.writeColdRate(2, warmup)
	for _, n := range f.nodes {
		f.await("service", func() bool {
			res, err := f.send(n, http.MethodGet, "/book/x", "")
			return err == nil && res.status == http.StatusOK
		})
	}
	p := f.press(f.nodes, perSecond, "/book/x?work=50ms", "", "")
	time.Sleep(time.Second)
	f.store.SetFaults(seamstandkv.Faults{Down: true})
	coldUntil := time.Now().Add(warmup)
	for _, n := range f.nodes {
		// The target starts again at the same address.
		n.target.recordArrivals()
		n.target.started++
		n.target.server.CloseClientConnections()
	}
	time.Sleep(unannounced)
	for _, n := range f.nodes {
		defer f.repeatAnnouncements(n, coldUntil)()
	}
	time.Sleep(time.Until(coldUntil))
	p.stop()
	for _, n := range f.nodes {
		got := n.target.recorded()
		if most := mostWhileCold(got, coldUntil); float64(most) > coldFactor*coldRate+coldSlack {
			t.Errorf("%s got %d requests in one second", n.target.name, most)
		}
		if least := 0.6 * coldRate * warmup.Seconds(); float64(len(got)) < least {
			t.Errorf("%s got %d requests in %v, want at least %v", n.target.name, len(got), warmup, least)
		}
	}
	limited := 0
	for reason, count := range p.reasons {
		if strings.HasPrefix(reason, "limit") {
			limited += count
		}
	}
	if limited == 0 || p.statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v, reasons %v", p.statuses, p.reasons)
	}
	t.Logf("statuses %v, reasons %v", p.statuses, p.reasons)
}

// Requests for the keys of a cold target must not be refused for as long as it is cold.
func TestKeysMoveAwayFromAColdTarget(t *testing.T) {
	const warmup = 25 * time.Second
	f := newFleet(t, keyedService, keyedService, keyedService)
	f.writeColdRate(2, warmup)
	f.awaitServed(f.nodes[2])
	owner := slices.IndexFunc(f.nodes, func(n *node) bool { return n.target.has(0) })
	var held []string
	for key := uint32(0); key < seamtable.Keys; key += 500 {
		if f.nodes[owner].target.has(key) {
			held = append(held, fmt.Sprint(key))
		}
	}
	defer f.repeatAnnouncements(f.nodes[owner], time.Now().Add(warmup))()
	f.await("keys to move away from a cold target that gets more requests than it can handle", func() bool {
		var refused atomic.Int32
		var sending sync.WaitGroup
		for i := range 50 {
			sending.Go(func() {
				res, err := f.send(f.nodes[(owner+1)%3], http.MethodGet, "/slots/x", held[i%len(held)])
				if err != nil || res.status != http.StatusOK {
					refused.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		sending.Wait()
		return refused.Load() == 0
	})
}
