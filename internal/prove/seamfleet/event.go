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

// Events collects the event streams of nodes.
type Events struct {
	ctx  context.Context
	stop func()

	mu   sync.Mutex
	list []seamevent.Event
}

func newEvents() *Events {
	ctx, cancel := context.WithCancel(context.Background())
	return &Events{ctx: ctx, stop: cancel}
}

// eventLimit is the number of events kept.
const eventLimit = 200_000

// retryPause is the time between attempts to reach a node's event stream.
const retryPause = 200 * time.Millisecond

// follow collects the events of an instance's node through all its runs.
func (e *Events) follow(x *Instance) {
	go func() {
		for {
			e.read("http://" + x.Admin + "/v1/events?follow=true")
			if !seamwait.For(e.ctx, retryPause) {
				return
			}
		}
	}()
}

func (e *Events) read(url string) {
	r, err := http.NewRequestWithContext(e.ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
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
	if len(e.list) < eventLimit {
		e.list = append(e.list, x)
	}
}

// All returns the events so far in order of time.
func (e *Events) All() []seamevent.Event {
	e.mu.Lock()
	list := append([]seamevent.Event(nil), e.list...)
	e.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

// Count returns the number of events of a name.
func (e *Events) Count(name string) int {
	n := 0
	for _, x := range e.All() {
		if x.Name == name {
			n++
		}
	}
	return n
}

// Broken returns the events by which nodes report that an invariant does not hold.
func (e *Events) InvariantViolations() []seamevent.Event {
	var list []seamevent.Event
	for _, x := range e.All() {
		if x.Name == seamevent.InvariantBroken {
			list = append(list, x)
		}
	}
	return list
}

// Trace returns the events of a span of time as text, at most limit of them.
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
