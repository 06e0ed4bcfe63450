package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case of an assigner that no holder hears.
const (
	// lostShare is the share of the writes whose answers are lost (platform_lost), and lostFor for how long.
	lostShare = 0.35
	lostFor   = 4500 * time.Millisecond
	// downFor is how long the killed processes are down.
	downFor = 880 * time.Millisecond
	// recoverBound is recover_s.
	recoverBound = 15 * time.Second
	// servedShare is the share of the requests that must be served after it, if as many were served before.
	servedShare = 0.25
	// faultsUntil is the time from the start of the case until which the fault comes again, each time once the fleet has recovered
	// from the last one.
	faultsUntil = 85 * time.Second
)

// lookups sends reads of random keys and counts how many are served.
type lookups struct {
	asked, served atomic.Int64
}

// run sends a read through the node each 50 ms until ctx ends.
func (l *lookups) run(ctx context.Context, rec *recorder, n *node, life string) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%s-%04d", n.name, life, i)
		running.Go(func() {
			key := map[string]string{"Cardamomseam-Shard-Key": strconv.Itoa(rand.IntN(keyCount))}
			a := send(rec, n.ingress, "GET", "/look/"+id, id, 800*time.Millisecond, "", key)
			l.asked.Add(1)
			if a.err == nil && a.status/100 == 2 && a.signed {
				l.served.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
}

// share returns which share of the requests that are answered in the next time is served.
func (l *lookups) share(d time.Duration) float64 {
	asked, served := l.asked.Load(), l.served.Load()
	time.Sleep(d)
	if l.asked.Load() == asked {
		return 0
	}
	return float64(l.served.Load()-served) / float64(l.asked.Load()-asked)
}

// playUnheard kills all nodes while the store loses answers to writes, and looks whether keys are served again.
func playUnheard(c *caseRun) (int, error) {
	f, err := newFleet(c.program, c.rec, configuration(
		[]map[string]any{route("look", "safe", "calendar", 800)}, []map[string]any{service("calendar", true)}))
	if err != nil {
		return notRun, err
	}
	defer f.stop(c.keep)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := f.startAll(ctx, places("calendar", "erie-a", "erie-b", "erie-a", "erie-b", "erie-a", "erie-b")); err != nil {
		return notRun, err
	}
	l := &lookups{}
	var clients sync.WaitGroup
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, n := range f.nodes {
		clients.Go(func() { l.run(traffic, c.rec, n, "r") })
	}
	time.Sleep(3 * time.Second)
	before := l.share(2 * time.Second)
	c.rec.note("share of the requests that is served before the fault: %.2f", before)
	if before < servedShare {
		return notRun, fmt.Errorf("only a share of %.2f was served before the fault", before)
	}
	back, recovered := time.Now(), true
	for i := 1; c.trouble && recovered && time.Since(c.rec.begin) < faultsUntil; i++ {
		if back, err = killAll(f); err != nil {
			return notRun, err
		}
		recovered = c.recovers(l, back.Add(recoverBound+time.Second))
		c.rec.note("fault %d: recovered %t, %.1f s after the machines were back", i, recovered, time.Since(back).Seconds())
	}
	time.Sleep(time.Until(back.Add(recoverBound + time.Second)))
	from := time.Since(back)
	after := l.share(5 * time.Second)
	c.rec.note("share of the requests that is served from %.1f s after the machines were back: %.2f", from.Seconds(), after)
	stopTraffic()
	clients.Wait()
	if after < servedShare {
		return broken, nil
	}
	return held, nil
}

// recovers waits until at least servedShare of the requests is served again, and reports false if that is not so at the time.
func (c *caseRun) recovers(l *lookups, until time.Time) bool {
	for time.Now().Before(until) {
		if l.share(time.Second) >= servedShare {
			return true
		}
	}
	return false
}

// killAll kills all nodes and starts them again while the store loses answers. It returns the time at which the machines were back.
func killAll(f *fleet) (back time.Time, err error) {
	f.store.loseAnswers(lostShare)
	defer f.store.loseAnswers(0)
	end := time.Now().Add(lostFor)
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(downFor)
	for _, n := range f.nodes {
		<-n.exited
		if err := n.start(); err != nil {
			return time.Time{}, err
		}
	}
	back = time.Now()
	time.Sleep(time.Until(end))
	return back, nil
}
