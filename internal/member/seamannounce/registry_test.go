package seamannounce_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
)

// recorder records the last reported change of the target and counts the changes.
type recorder struct {
	name    string
	present bool
	calls   int
}

func (r *recorder) TargetChanged(a seamtarget.Announcement, present bool) {
	r.name, r.present = a.Name, present
	r.calls++
}

func validAnnouncement() seamtarget.Announcement {
	return seamtarget.Announcement{Service: "calendar", Name: "calendar-1", Address: "127.0.0.1:9000", MaxConcurrency: 12, Connections: 110}
}

func TestAnnouncementExpires(t *testing.T) {
	watcher := &recorder{}
	r := seamannounce.NewRegistry(3*time.Second, seamevent.NewStream("n"), watcher)
	start := time.Unix(100, 0)
	if err := r.Announce(start, validAnnouncement()); err != nil {
		t.Fatal(err)
	}
	r.Expire(start.Add(3 * time.Second))
	if _, ok := r.Current(); !ok {
		t.Fatal("the target was removed before its announcement expired")
	}
	r.Expire(start.Add(3*time.Second + 1))
	if _, ok := r.Current(); ok || watcher.present {
		t.Fatal("the target was not removed after its announcement expired")
	}
}

func TestSecondTargetIsRejected(t *testing.T) {
	r := seamannounce.NewRegistry(time.Second, seamevent.NewStream("n"), &recorder{})
	if err := r.Announce(time.Unix(1, 0), validAnnouncement()); err != nil {
		t.Fatal(err)
	}
	second := validAnnouncement()
	second.Name, second.Address = "calendar-2", "127.0.0.1:9001"
	var other *seamannounce.OtherTargetError
	if err := r.Announce(time.Unix(1, 0), second); !errors.As(err, &other) {
		t.Fatalf("got error %v, want *OtherTargetError", err)
	}
	if a, _ := r.Current(); a.Name != "calendar-1" {
		t.Fatalf("target is %s, want calendar-1", a.Name)
	}
}

func TestRestartedTargetReplacesItsPredecessor(t *testing.T) {
	watcher := &recorder{}
	r := seamannounce.NewRegistry(time.Second, seamevent.NewStream("n"), watcher)
	if err := r.Announce(time.Unix(1, 0), validAnnouncement()); err != nil {
		t.Fatal(err)
	}
	restarted := validAnnouncement()
	restarted.Name = "calendar-1b"
	if err := r.Announce(time.Unix(1, 0), restarted); err != nil {
		t.Fatal(err)
	}
	// The calls report the first target, its removal and its successor.
	if watcher.calls != 3 || watcher.name != "calendar-1b" || !watcher.present {
		t.Fatalf("watcher received %+v", watcher)
	}
}

func TestServeRejectsInvalidAnnouncements(t *testing.T) {
	r := seamannounce.NewRegistry(time.Second, seamevent.NewStream("n"), &recorder{})
	address, cleanup, err := seamannounce.Serve("127.0.0.1:0", r)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	cases := map[string]func(a *seamtarget.Announcement){
		"service":     func(a *seamtarget.Announcement) { a.Service = "" },
		"name":        func(a *seamtarget.Announcement) { a.Name = "a b" },
		"address":     func(a *seamtarget.Announcement) { a.Address = "localhost:1" },
		"slots":       func(a *seamtarget.Announcement) { a.MaxConcurrency = 0 },
		"connections": func(a *seamtarget.Announcement) { a.Connections = -1 },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			a := validAnnouncement()
			invalidate(&a)
			if got := put(t, address, a); got != http.StatusBadRequest {
				t.Fatalf("status %d for an invalid announcement, want 400", got)
			}
		})
	}
	if got := put(t, address, validAnnouncement()); got != http.StatusOK {
		t.Fatalf("status %d for a valid announcement", got)
	}
}

func put(t *testing.T, address string, a seamtarget.Announcement) int {
	t.Helper()
	body, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+seamannounce.Path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestIncarnationThatLeavesIsNotAnnouncedAgain(t *testing.T) {
	r := seamannounce.NewRegistry(time.Minute, seamevent.NewStream("n"), &recorder{})
	now := time.Unix(1, 0)
	announce := func(started int64, sequence uint64) seamtarget.Announcement {
		a := validAnnouncement()
		a.Started, a.Sequence = started, sequence
		if err := r.Announce(now, a); err != nil {
			t.Fatal(err)
		}
		current, _ := r.Current()
		return current
	}
	announce(5, 1)
	if r.MarkIncarnationLeaving(now, "calendar-1", 4); announce(5, 2).Leaving {
		t.Error("the target is leaving although an earlier incarnation was meant")
	}
	if r.MarkIncarnationLeaving(now, "calendar-1", 5); !announce(5, 3).Leaving {
		t.Error("a later announcement of the incarnation that is leaving was accepted")
	}
	if announce(6, 1).Leaving {
		t.Error("the next incarnation is leaving")
	}
}

// What an announcement says about a warm-up counts from its arrival, and one that is superseded must not.
func TestAnnouncementsHaveTheTimeOfTheirArrival(t *testing.T) {
	r := seamannounce.NewRegistry(time.Minute, seamevent.NewStream("n"), ignoreChanges{})
	now := time.Unix(1000, 0)
	a := seamtarget.Announcement{
		Service: "booker", Name: "t", Address: "127.0.0.1:80", MaxConcurrency: 1, Connections: 1, Started: 5, Sequence: 2, WarmupLeft: time.Second,
	}
	if err := r.Announce(now, a); err != nil {
		t.Fatal(err)
	}
	late := a
	late.Sequence, late.WarmupLeft = 1, time.Minute
	if err := r.Announce(now.Add(time.Second), late); err != nil {
		t.Fatal(err)
	}
	if got, _ := r.Current(); !got.ArrivedAt.Equal(now) || got.WarmupLeft != time.Second {
		t.Errorf("got %+v", got)
	}
}

// ignoreChanges ignores the changes of the target.
type ignoreChanges struct{}

// TargetChanged implements seamannounce.Watcher.
func (ignoreChanges) TargetChanged(seamtarget.Announcement, bool) {}
