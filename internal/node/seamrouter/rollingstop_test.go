package seamrouter_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/route/seamheader"
)

const (
	rollingNotice = 400 * time.Millisecond
	rollingLimit  = 2200 * time.Millisecond
	// routeTimeout is the timeout of the fixture's routes.
	routeTimeout = 5 * time.Second
	// rollingSeries is the number of times that each node is stopped.
	rollingSeries = 2
	// Stops of a series begin minStopGap to maxStopGap apart, much less than rollingLimit.
	minStopGap = 100 * time.Millisecond
	maxStopGap = 400 * time.Millisecond
	// unawareMargin is the least time from the last request that callers send to a stopping node to the end of its notice.
	unawareMargin  = 20 * time.Millisecond
	maxDowntime    = 200 * time.Millisecond
	callersPerNode = 6
	// longRunShare is the share of the unsafe requests that run for longer than shortRun: for minLongRun to maxLongRun.
	longRunShare = 0.25
	shortRun     = 20 * time.Millisecond
	minLongRun   = 300 * time.Millisecond
	maxLongRun   = 1400 * time.Millisecond
)

// A model: nodes are stopped and started in overlapping series, at random times, while callers use all of them.
func TestOverlappingStopsCutNoRequest(t *testing.T) {
	for _, seed := range rollingSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := newRollingPlay(t, seed)
			p.play()
			p.check()
		})
	}
}

// rollingSeeds returns ROLLING_SEEDS seeds from RAPID_SEED on. Both are 1 by default.
func rollingSeeds(t *testing.T) (seeds []uint64) {
	number := func(name string) uint64 {
		value, set := os.LookupEnv(name)
		if !set {
			return 1
		}
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return n
	}
	first := number("RAPID_SEED")
	for i := range number("ROLLING_SEEDS") {
		seeds = append(seeds, first+i)
	}
	return seeds
}

// rollingPlay is a fleet with callers and planned stops, and what was observed of them.
type rollingPlay struct {
	*fleet
	seed   uint64
	random *rand.Rand
	// accepting holds, by node, whether callers send new requests to it.
	accepting map[*node]*atomic.Bool

	observed sync.Mutex
	requests []rollingRequest
	runs     map[string][]*rollingRun
	stops    map[string][]rollingStop
}

func newRollingPlay(t *testing.T, seed uint64) *rollingPlay {
	p := &rollingPlay{
		fleet: newFleet(t), seed: seed, random: rand.New(rand.NewPCG(seed, 0)),
		accepting: map[*node]*atomic.Bool{}, runs: map[string][]*rollingRun{}, stops: map[string][]rollingStop{},
	}
	p.stopSettings = seamsetting.Stop{Notice: rollingNotice, Limit: rollingLimit, Linger: rollingNotice}
	p.onRun = p.recordRun
	for i := range 8 {
		service := plainService
		if i < 2 {
			service = keyedService
		}
		n := p.add(fmt.Sprintf("n%d", i), service)
		p.accepting[n] = &atomic.Bool{}
	}
	for _, n := range p.nodes {
		p.awaitServed(n)
		p.accepting[n].Store(true)
	}
	return p
}

// play stops each node rollingSeries times while callers use all nodes.
func (p *rollingPlay) play() {
	var callers sync.WaitGroup
	ctx, stopCallers := context.WithCancel(p.t.Context())
	for i := range callersPerNode * len(p.nodes) {
		random := rand.New(rand.NewPCG(p.seed, uint64(1+i)))
		callers.Go(func() { p.call(ctx, p.nodes[i%len(p.nodes)], random) })
	}
	for range rollingSeries {
		time.Sleep(rollingNotice)
		p.stopInSeries(p.planSeries())
	}
	stopCallers()
	callers.Wait()
}

// plannedStop is the plan of one stop of a node.
type plannedStop struct {
	node *node
	// after is the time from the start of the series to the stop.
	after time.Duration
	// unaware is how long callers send requests to the stopping node.
	unaware time.Duration
	// down is the time from the end of the process to its next start.
	down time.Duration
}

// planSeries draws a series that stops each node once, each soon after the one before.
func (p *rollingPlay) planSeries() (series []plannedStop) {
	gap := minStopGap + p.duration(maxStopGap-minStopGap)
	for i, k := range p.random.Perm(len(p.nodes)) {
		series = append(series, plannedStop{
			node:    p.nodes[k],
			after:   time.Duration(i) * gap,
			unaware: rollingNotice/2 + p.duration(rollingNotice/2-unawareMargin),
			down:    p.duration(maxDowntime),
		})
	}
	return series
}

// duration draws a duration below the limit.
func (p *rollingPlay) duration(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

// stopInSeries stops and starts the nodes, and returns when all of them are ready again.
func (p *rollingPlay) stopInSeries(series []plannedStop) {
	stopped := make(chan *node, len(series))
	for _, s := range series {
		time.AfterFunc(s.after, func() {
			time.AfterFunc(s.unaware, func() { p.accepting[s.node].Store(false) })
			p.stopNode(s.node)
			time.Sleep(s.down)
			stopped <- s.node
		})
	}
	var starting sync.WaitGroup
	for range series {
		n := <-stopped
		p.start(n)
		starting.Go(func() { p.acceptWhenReady(n) })
	}
	starting.Wait()
}

// acceptWhenReady lets callers send requests to the node once it is ready.
func (p *rollingPlay) acceptWhenReady(n *node) {
	for end := time.Now().Add(waitTimeout); !n.Ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Errorf("seed %d: %s is not ready %v after its start", p.seed, n.settings.Name, waitTimeout)
			return
		}
	}
	p.accepting[n].Store(true)
}

// stopNode stops the node as the command serve does.
func (p *rollingPlay) stopNode(n *node) {
	s := rollingStop{start: time.Now()}
	ctx, cancel := context.WithDeadline(context.Background(), s.start.Add(rollingLimit))
	defer cancel()
	_ = n.Drain(ctx) // returns an error if requests are in flight at its end; check reports them
	s.drained = time.Now()
	n.stop()
	p.observed.Lock()
	defer p.observed.Unlock()
	p.stops[n.settings.Name] = append(p.stops[n.settings.Name], s)
}

// call sends requests to the node, one after the other on a kept connection, until ctx is done.
func (p *rollingPlay) call(ctx context.Context, n *node, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * routeTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.Int64N(int64(30 * time.Millisecond))))
		q := rollingRequest{id: fmt.Sprintf("%s-%x-%d", n.settings.Name, random.Uint32(), i), entry: n.settings.Name, work: shortRun}
		q.keyed = random.IntN(4) == 0
		if !q.keyed && random.Float64() < longRunShare {
			q.work = minLongRun + time.Duration(random.Int64N(int64(maxLongRun-minLongRun)))
		}
		key := keys[random.IntN(len(keys))]
		if p.accepting[n].Load() {
			p.request(client, n, q, key)
		}
	}
}

// request sends one request and records what the caller observes.
func (p *rollingPlay) request(client *http.Client, n *node, q rollingRequest, key string) {
	method, path := http.MethodPost, "/book/"
	if q.keyed {
		method, path = http.MethodGet, "/slots/"
	}
	r, err := http.NewRequest(method, "http://"+n.settings.Ingress+path+"?work="+q.work.String(), nil)
	if err != nil {
		p.t.Error(err)
		return
	}
	r.Host = "visits.example"
	r.Header.Set(seamheader.Request, q.id)
	r.Header.Set(seamheader.Key, key)
	q.sent = time.Now()
	res, err := client.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		q.response, err = response{res.StatusCode, string(body), res.Header}, readErr
	}
	q.done, q.err = time.Now(), err
	p.observed.Lock()
	defer p.observed.Unlock()
	p.requests = append(p.requests, q)
}
