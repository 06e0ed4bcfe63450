package main

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a second owner.
const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 50 * time.Millisecond
	// drillAfter is the time after the copy at which the store goes away, and awayFor for how long.
	drillAfter = 4 * time.Second
	awayFor    = 1500 * time.Millisecond
	// killAfter is the time after the return of the store at which a process is killed in the first of three plays, later by killStep in
	// each of the two others; killedFor is for how long it is down.
	killAfter = 300 * time.Millisecond
	killStep  = 100 * time.Millisecond
	killedFor = 100 * time.Millisecond
	// compareFor is the time for which the owners are compared after the process has started again.
	compareFor = 4 * time.Second
	// maxPlays is how many fleets are started at most, one after the other, until the rule is broken.
	maxPlays = 11
)

// playDrill starts a fleet and has its store come back from a copy that is older than the first table of owners, while one process
// is killed and started again.
func playDrill(c *caseRun) (int, error) {
	for i := range maxPlays {
		breaches, err := c.drill(killAfter + time.Duration(i%3)*killStep)
		if err != nil {
			return notRun, err
		}
		c.rec.note("play %d: breaches of the rule: %d", i+1, breaches)
		if breaches > 0 {
			return broken, nil
		}
	}
	return held, nil
}

// drill plays one fleet, with the kill at a time after the return of the store, and returns the number of breaches.
func (c *caseRun) drill(kill time.Duration) (breaches int, err error) {
	f, err := newFleet(c.program, c.rec, configuration(
		[]map[string]any{route("look", "safe", "calendar", 800)}, []map[string]any{service("calendar", true), service("booker", false)}))
	if err != nil {
		return 0, err
	}
	defer f.stop(c.keep)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	copies := make(chan kvCopy, 1)
	go func() { copies <- f.store.copyBeforeElection(ctx) }()
	upstreams, err := f.startAll(ctx, []place{{"erie-a", "calendar"}, {"erie-b", "calendar"}, {"erie-a", "booker"}})
	if err != nil {
		return 0, err
	}
	before := <-copies
	o := newOwners(c.rec, upstreams, ctx.Done())
	var clients sync.WaitGroup
	defer clients.Wait()
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, n := range f.nodes {
		clients.Go(func() { lookups(traffic, c.rec, n) })
	}
	time.Sleep(time.Until(before.made.Add(drillAfter)))
	if c.trouble {
		f.store.goAway()
		time.Sleep(awayFor)
		f.store.comeBack(before)
		time.Sleep(kill)
		if err := f.nodes[0].restart(syscall.SIGKILL, killedFor); err != nil {
			return 0, err
		}
	}
	time.Sleep(compareFor)
	return o.count(), nil
}

// copyBeforeElection returns the last copy before the first assigner was elected.
func (s *kvStore) copyBeforeElection(ctx context.Context) kvCopy {
	before := s.copied()
	for ctx.Err() == nil {
		next := s.copied()
		if next.count("table/")+next.count("own/office/") > 0 {
			return before
		}
		before = next
		time.Sleep(copyInterval)
	}
	return before
}

// count returns the number of keys with the prefix.
func (c kvCopy) count(prefix string) int {
	n := 0
	for key := range c.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
