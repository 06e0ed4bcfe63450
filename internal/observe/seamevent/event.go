// Package seamevent defines the events of a node and the stream that distributes them
// to the log, the event API and the metrics.
package seamevent

import (
	"sync"
	"time"
)

// Event is a named occurrence at a node, with a timestamp and details.
type Event struct {
	Time time.Time `json:"time"`
	// Node is the name of the node that emitted the event.
	Node string `json:"node"`
	// Name is one of the event name constants of this package.
	Name   string `json:"name"`
	Fields Fields `json:"fields,omitempty"`
}

// Fields holds the details of an event by field name.
type Fields map[string]any

// Sink receives events. Implementations must not block.
type Sink interface {
	Emit(now time.Time, name string, fields Fields)
}

// Stream keeps the most recent events and delivers each new event to its subscribers.
type Stream struct {
	node string

	mu               sync.Mutex
	recent           []Event
	next             int
	subscribers      map[int]chan Event
	nextSubscriberID int
}

const (
	// maxRecentEvents is the number of events kept for late subscribers.
	maxRecentEvents = 1024
	// subscriberBuffer is the channel capacity of a subscriber. Events that do not fit are dropped.
	subscriberBuffer = 1024
)

// NewStream returns an empty stream whose events carry the given node name.
func NewStream(node string) *Stream {
	return &Stream{node: node, subscribers: map[int]chan Event{}}
}

// Emit records an event and delivers it to all subscribers. It drops the event for a
// subscriber whose buffer is full.
func (s *Stream) Emit(now time.Time, name string, fields Fields) {
	e := Event{Time: now, Node: s.node, Name: name, Fields: fields}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(e)
	for _, c := range s.subscribers {
		select {
		case c <- e:
		default:
		}
	}
}

func (s *Stream) appendLocked(e Event) {
	if len(s.recent) < maxRecentEvents {
		s.recent = append(s.recent, e)
		return
	}
	s.recent[s.next] = e
	s.next = (s.next + 1) % maxRecentEvents
}

// Recent returns the most recent events, oldest first.
func (s *Stream) Recent() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentLocked()
}

func (s *Stream) recentLocked() []Event {
	events := make([]Event, 0, len(s.recent))
	events = append(events, s.recent[s.next:]...)
	return append(events, s.recent[:s.next]...)
}

// Follow returns the most recent events, oldest first, a channel of all later events, and a
// function that ends the subscription. No event appears in both or is skipped between them.
func (s *Stream) Follow() (recent []Event, following <-chan Event, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	following, cancel = s.subscribe()
	return s.recentLocked(), following, cancel
}

// Subscribe returns a channel of later events and a function that ends the subscription.
func (s *Stream) Subscribe() (events <-chan Event, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subscribe()
}

func (s *Stream) subscribe() (events <-chan Event, cancel func()) {
	id := s.nextSubscriberID
	s.nextSubscriberID++
	c := make(chan Event, subscriberBuffer)
	s.subscribers[id] = c
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}
