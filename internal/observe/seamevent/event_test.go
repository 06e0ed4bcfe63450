package seamevent_test

import (
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
)

func TestStreamKeepsLatestInOrder(t *testing.T) {
	s := seamevent.NewStream("n1")
	start := time.Unix(0, 0)
	const emitted = 3000
	for i := range emitted {
		s.Emit(start.Add(time.Duration(i)), seamevent.NodeStarted, nil)
	}
	recent := s.Recent()
	for i := 1; i < len(recent); i++ {
		if !recent[i].Time.After(recent[i-1].Time) {
			t.Fatalf("event %d is not later than the one before it", i)
		}
	}
	last := recent[len(recent)-1].Time
	if want := start.Add(emitted - 1); !last.Equal(want) {
		t.Fatalf("last event at %v, want %v", last, want)
	}
}

func TestStreamDeliversEventsToSubscribers(t *testing.T) {
	s := seamevent.NewStream("n1")
	events, cancel := s.Subscribe()
	s.Emit(time.Unix(1, 0), seamevent.SlotGranted, seamevent.Fields{"slot": "calendar/1"})
	cancel()
	s.Emit(time.Unix(2, 0), seamevent.SlotReleased, nil)
	if e := <-events; e.Name != seamevent.SlotGranted || e.Node != "n1" {
		t.Fatalf("got %+v", e)
	}
	if len(events) != 0 {
		t.Fatal("an event arrived after the subscription ended")
	}
}
