package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a request that crashes upstreams.
const (
	// poisonPath is in the path of a request that crashes each upstream that begins to run it.
	poisonPath = "/book/poison"
	// crashedFor is how long an upstream is down then.
	crashedFor = 2500 * time.Millisecond
	// poisonInterval is the time between two sendings of that request.
	poisonInterval = time.Second
	// quarantineFor is the time after the third crash for which the request goes on coming before the drill.
	quarantineFor = 4 * time.Second
	// poisonAwayFor is how long the store is away.
	poisonAwayFor = time.Second
	// comesAgainFor is the time for which the request comes again once all machines are in touch after the drill.
	comesAgainFor = 40 * time.Second
	// maxPoisonRetries is the number of retries in which the request may reach upstreams later than stableWindow after the third crash.
	maxPoisonRetries = 3
)

// crashes are the runs of the request that crashes upstreams.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, now)
}

// third returns the time of the third crash; false if there were fewer.
func (c *crashes) third() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < 3 {
		return time.Time{}, false
	}
	return c.times[2], true
}

// between returns the number of crashes from one time to another.
func (c *crashes) between(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// supervise runs one upstream after the other beside a node until ctx ends. Each ends when it begins to run the request, and the
// next one starts crashedFor later.
func (f *fleet) supervise(ctx context.Context, n *node, first *upstream, c *crashes) {
	for u, life := first, 1; ctx.Err() == nil; life++ {
		select {
		case <-u.poisoned:
		case <-ctx.Done():
			return
		}
		c.add(time.Now())
		u.beSilent()
		u.exit()
		time.Sleep(crashedFor)
		next, err := startUpstream(fmt.Sprintf("%s-%d", strings.TrimSuffix(first.id, "-0"), life), n.service, n.zone, n.app, n.announce, 50*time.Millisecond, f.rec)
		if err != nil {
			f.rec.note("upstream beside %s can't start: %v", n.name, err)
			return
		}
		f.rec.note("upstream %s starts", next.id)
		go next.beats(ctx)
		defer next.exit()
		u = next
	}
}

// playPoison sends a request that crashes upstreams until it is kept from them. Then the store comes back from a copy of before that.
func playPoison(c *caseRun) (int, error) {
	f, err := newFleet(c.program, c.rec, configuration(
		[]map[string]any{route("book", "unsafe", "booker", 1000)}, []map[string]any{service("booker", false)}))
	if err != nil {
		return notRun, err
	}
	defer f.stop(c.keep)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.startAll(ctx, places("booker", "erie-a", "erie-b", "erie-a", "erie-b", "erie-a", "erie-b"))
	if err != nil {
		return notRun, err
	}
	seen := &crashes{}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i, n := range f.nodes {
		running.Go(func() { f.supervise(ctx, n, upstreams[i], seen) })
		running.Go(func() { bookings(ctx, c.rec, n) })
	}
	time.Sleep(2 * time.Second)
	before := f.store.copied()
	sender := &poisonSender{rec: c.rec, nodes: f.nodes}
	for start := time.Now(); ; {
		sender.send()
		if _, ok := seen.third(); ok {
			break
		}
		if time.Since(start) > 20*time.Second {
			return notRun, fmt.Errorf("the request did not crash three upstreams")
		}
	}
	third, _ := seen.third()
	for time.Since(third) < quarantineFor {
		sender.send()
	}
	away := time.Now()
	if c.trouble {
		f.store.goAway()
		time.Sleep(poisonAwayFor)
		f.store.comeBack(before)
	}
	back := time.Now()
	time.Sleep(stableWindow + countMargin)
	inTouch := time.Now()
	for time.Since(inTouch) < comesAgainFor {
		sender.send()
	}
	retries := seen.between(third.Add(stableWindow), away) + seen.between(back.Add(stableWindow), time.Now())
	c.rec.note("runs of the request: %d in all, %d in retries that count", len(seen.times), retries)
	if retries > maxPoisonRetries {
		return broken, nil
	}
	return held, nil
}

// poisonSender sends the request at one node after the other.
type poisonSender struct {
	rec   *recorder
	nodes []*node
	sent  int
}

// send sends the request and waits until the next one is due.
func (s *poisonSender) send() {
	s.sent++
	next := time.After(poisonInterval)
	id := fmt.Sprintf("poison-%03d", s.sent)
	send(s.rec, s.nodes[s.sent%len(s.nodes)].ingress, "POST", poisonPath, id, time.Second, "the same body", nil)
	<-next
}
