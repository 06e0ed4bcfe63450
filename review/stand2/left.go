package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the cases of an upstream that has left.
const (
	// drainBound is drain_ms.
	drainBound = 2 * time.Second
	// stableWindow is stable_window_ms: a process that was started is in touch after it.
	stableWindow = 3 * time.Second
	// countMargin is added to the end of both before a request counts.
	countMargin = time.Second
	// lateBy is how long a heartbeat is on its way.
	lateBy = 3 * time.Second
	// servesOn is how long the upstream serves on after the acknowledgement of its leave.
	servesOn = 14 * time.Second
	// bookingWork is the time for which a booking runs, and bookingInterval the time between two at a node: three of the four upstreams
	// have too few slots for all, so that each upstream that may be used is used.
	bookingWork     = 350 * time.Millisecond
	bookingInterval = 33 * time.Millisecond
)

// departure is an upstream that leaves, and the node beside it.
type departure struct {
	c            *caseRun
	upstream     *upstream
	beside       *node
	sent         time.Time
	acknowledged time.Time
	// inTouch is the time from which all machines are in touch.
	inTouch time.Time
}

// playLateBeat kills and starts the node beside an upstream that has left. A heartbeat from before the leave arrives late.
func playLateBeat(c *caseRun) (int, error) {
	return playDeparture(c, func(d *departure, late int) error {
		if d.c.trouble {
			time.Sleep(300 * time.Millisecond)
			if err := d.beside.restart(syscall.SIGKILL, 300*time.Millisecond); err != nil {
				return err
			}
			d.inTouch = time.Now().Add(stableWindow)
		}
		time.Sleep(time.Until(d.sent.Add(lateBy)))
		d.upstream.notedBeat(late, "ready")
		return nil
	})
}

// playForeignBeat sends a heartbeat without the field born in the name of an upstream that has left.
func playForeignBeat(c *caseRun) (int, error) {
	return playDeparture(c, func(d *departure, late int) error {
		time.Sleep(time.Until(d.sent.Add(lateBy)))
		if d.c.trouble {
			d.upstream.notedBeat(late+1, "ready", "born")
		}
		return nil
	})
}

// playDeparture has one of four upstreams leave under load and calls disrupt after the acknowledgement, with the sequence number of
// a heartbeat that was sent before. It counts the requests that reach the upstream when it must get none.
func playDeparture(c *caseRun, disrupt func(d *departure, late int) error) (int, error) {
	f, err := newFleet(c.program, c.rec, configuration(
		[]map[string]any{route("book", "unsafe", "booker", 1000)}, []map[string]any{service("booker", false)}))
	if err != nil {
		return notRun, err
	}
	defer f.stop(c.keep)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	upstreams, err := f.startAll(ctx, places("booker", "erie-a", "erie-b", "erie-a", "erie-b"))
	if err != nil {
		return notRun, err
	}
	for _, u := range upstreams {
		u.setWork(bookingWork)
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var clients sync.WaitGroup
	for _, n := range f.nodes {
		clients.Go(func() { bookings(traffic, c.rec, n) })
	}
	time.Sleep(4 * time.Second)
	d := &departure{c: c, upstream: upstreams[0], beside: f.nodes[0]}
	if err := d.leave(); err != nil {
		return notRun, err
	}
	late := d.upstream.lastSequence()
	if err := disrupt(d, late); err != nil {
		return notRun, err
	}
	time.Sleep(time.Until(d.acknowledged.Add(servesOn)))
	stopTraffic()
	clients.Wait()
	return d.judge(), nil
}

// leave sends the last heartbeat, which is held up on its way, and then the leave, which must be acknowledged.
func (d *departure) leave() error {
	if d.upstream.runsSince(time.Time{}) == 0 {
		return fmt.Errorf("upstream %s got no request before it left", d.upstream.id)
	}
	d.upstream.beSilent()
	d.c.rec.note("heartbeat of %s, state ready, sequence %d, is sent", d.upstream.id, d.upstream.nextSequence())
	d.sent = time.Now()
	time.Sleep(100 * time.Millisecond)
	if status, err := d.upstream.leave(); err != nil || status/100 != 2 {
		return fmt.Errorf("the leave was not acknowledged: %d %w", status, err)
	}
	d.acknowledged = time.Now()
	d.inTouch = d.acknowledged
	return nil
}

// judge applies the rule.
func (d *departure) judge() int {
	from := d.acknowledged.Add(drainBound)
	if d.inTouch.After(from) {
		from = d.inTouch
	}
	from = from.Add(countMargin)
	after := d.upstream.runsSince(from)
	d.c.rec.note("requests that reached %s from %.3f s after the acknowledgement of its leave: %d", d.upstream.id, from.Sub(d.acknowledged).Seconds(), after)
	if after > 0 {
		return broken
	}
	return held
}

// bookings sends a booking through the node each bookingInterval until ctx ends.
func bookings(ctx context.Context, rec *recorder, n *node) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%04d", n.name, i)
		running.Go(func() { send(rec, n.ingress, "POST", "/book/"+id, id, time.Second, "visit "+id, nil) })
		time.Sleep(bookingInterval)
	}
}
