// Package seamevent carries what happens in a node to its log, its event
// stream and its measures.
package seamevent

import (
	"sync"
	"time"
)

// Event is one thing that happened.
type Event struct {
	Time time.Time `json:"time"`
	// Node is the name of the node at which it happened.
	Node string `json:"node"`
	// Name is one of the names in names.go.
	Name string `json:"name"`
	// Fields are the details.
	Fields Fields `json:"fields,omitempty"`
}

// Fields are the details of an event.
type Fields map[string]any

// Sink takes events. Implementations do not block.
type Sink interface {
	Emit(now time.Time, name string, fields Fields)
}

// Stream keeps the latest events and hands each to its subscribers.
type Stream struct {
	node string

	mu          sync.Mutex
	recent      []Event
	next        int
	subscribers map[int]chan Event
	nextSubscriberID     int
}

const (
	// recentLimit is the number of events kept for late subscribers.
	maxRecentEvents = 1024
	// subscriberBuffer is the number of events a subscriber may lag behind before it loses some.
	subscriberBuffer = 1024
)

// NewStream returns an empty stream for the node.
func NewStream(node string) *Stream {
	return &Stream{node: node, subscribers: map[int]chan Event{}}
}

// Emit records an event.
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

// Recent returns the kept events, oldest first.
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

// Follow returns the kept events, oldest first, a channel of all later ones, and a
// function that ends the subscription. No event is in both or in neither.
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
