package seamfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamwait"
)

// Events collects events from the event streams of all nodes.
type Events struct {
	ctx  context.Context
	stop func()

	mu     sync.Mutex
	events []seamevent.Event
}

func newEvents() *Events {
	ctx, cancel := context.WithCancel(context.Background())
	return &Events{ctx: ctx, stop: cancel}
}

// maxEvents is the number of events kept; later ones are dropped.
const maxEvents = 200_000

// reconnectDelay is the delay before reconnecting to a node's event stream.
const reconnectDelay = 200 * time.Millisecond

// subscribe collects the events of an instance's node and reconnects after each restart.
func (e *Events) subscribe(x *Instance) {
	go func() {
		for {
			e.readStream("http://" + x.Admin + "/v1/events?follow=true")
			if !seamwait.For(e.ctx, reconnectDelay) {
				return
			}
		}
	}()
}

func (e *Events) readStream(url string) {
	r, err := http.NewRequestWithContext(e.ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var x seamevent.Event
		if json.Unmarshal(lines.Bytes(), &x) == nil {
			e.add(x)
		}
	}
}

func (e *Events) add(x seamevent.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.events) < maxEvents {
		e.events = append(e.events, x)
	}
}

// All returns the events collected so far, sorted by time.
func (e *Events) All() []seamevent.Event {
	e.mu.Lock()
	list := append([]seamevent.Event(nil), e.events...)
	e.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

// Count returns the number of events with the given name.
func (e *Events) Count(name string) int {
	n := 0
	for _, x := range e.All() {
		if x.Name == name {
			n++
		}
	}
	return n
}

// InvariantViolations returns the events in which nodes report a violated invariant.
func (e *Events) InvariantViolations() []seamevent.Event {
	var list []seamevent.Event
	for _, x := range e.All() {
		if x.Name == seamevent.InvariantBroken {
			list = append(list, x)
		}
	}
	return list
}

// Format returns the events between two times as text lines, at most limit of them.
func (e *Events) Format(from, to time.Time, limit int) []string {
	var lines []string
	for _, x := range e.All() {
		if x.Time.Before(from) || x.Time.After(to) || len(lines) == limit {
			continue
		}
		fields, _ := json.Marshal(x.Fields)
		lines = append(lines, fmt.Sprintf("%s %s %s %s", x.Time.Format("15:04:05.000"), x.Node, x.Name, fields))
	}
	return lines
}
