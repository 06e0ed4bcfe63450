package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// repeatAfter is the time after which the signal is repeated.
const repeatAfter = 300 * time.Millisecond

// playSecondSignal stops a node with SIGTERM while its clients wait for answers, and sends the signal again.
func playSecondSignal(c *caseRun) (int, error) {
	f, err := newFleet(c.program, c.rec, configuration(
		[]map[string]any{route("book", "unsafe", "booker", 2000)}, []map[string]any{service("booker", false)}))
	if err != nil {
		return notRun, err
	}
	defer f.stop(c.keep)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.startAll(ctx, places("booker", "erie-a", "erie-b", "erie-a"))
	if err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	for _, u := range upstreams {
		u.setWork(900 * time.Millisecond)
	}
	n := f.nodes[0]
	answers := make([]answer, 6)
	var clients sync.WaitGroup
	for i := range answers {
		id := fmt.Sprintf("visit-%d", i)
		clients.Go(func() { answers[i] = send(c.rec, n.ingress, "POST", "/book/"+id, id, 2*time.Second, "visit", nil) })
	}
	time.Sleep(300 * time.Millisecond)
	n.signal(syscall.SIGTERM)
	if c.trouble {
		time.Sleep(repeatAfter)
		n.signal(syscall.SIGTERM)
	}
	clients.Wait()
	lost := 0
	for i, a := range answers {
		if a.err != nil && ranAnywhere(upstreams, fmt.Sprintf("visit-%d", i)) {
			lost++
		}
	}
	c.rec.note("requests that an upstream was running and whose connection ended without an answer: %d", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// ranAnywhere reports whether one of the upstreams ran the request.
func ranAnywhere(upstreams []*upstream, id string) bool {
	for _, u := range upstreams {
		if u.ran(id) {
			return true
		}
	}
	return false
}
