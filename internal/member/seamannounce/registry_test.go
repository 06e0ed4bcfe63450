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

// recorder records the last change of the target.
type recorder struct {
	name    string
	present bool
	calls   int
}

func (r *recorder) TargetChanged(a seamtarget.Announcement, present bool) {
	r.name, r.present = a.Name, present
	r.calls++
}

func valid() seamtarget.Announcement {
	return seamtarget.Announcement{Service: "calendar", Name: "calendar-1", Address: "127.0.0.1:9000", MaxConcurrency: 12, Connections: 110}
}

func TestAnnouncementExpires(t *testing.T) {
	watcher := &recorder{}
	r := seamannounce.NewRegistry(3*time.Second, seamevent.NewStream("n"), watcher)
	start := time.Unix(100, 0)
	if err := r.Announce(start, valid()); err != nil {
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
	if err := r.Announce(time.Unix(1, 0), valid()); err != nil {
		t.Fatal(err)
	}
	second := valid()
	second.Name, second.Address = "calendar-2", "127.0.0.1:9001"
	var other *seamannounce.OtherTargetError
	if err := r.Announce(time.Unix(1, 0), second); !errors.As(err, &other) {
		t.Fatalf("got %v", err)
	}
	if a, _ := r.Current(); a.Name != "calendar-1" {
		t.Fatalf("target is %s", a.Name)
	}
}

func TestRestartedTargetReplacesItsPredecessor(t *testing.T) {
	watcher := &recorder{}
	r := seamannounce.NewRegistry(time.Second, seamevent.NewStream("n"), watcher)
	if err := r.Announce(time.Unix(1, 0), valid()); err != nil {
		t.Fatal(err)
	}
	restarted := valid()
	restarted.Name = "calendar-1b"
	if err := r.Announce(time.Unix(1, 0), restarted); err != nil {
		t.Fatal(err)
	}
	if watcher.calls != 3 || watcher.name != "calendar-1b" || !watcher.present {
		t.Fatalf("watcher saw %+v", watcher)
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
			a := valid()
			invalidate(&a)
			if got := put(t, address, a); got != http.StatusBadRequest {
				t.Fatalf("status %d", got)
			}
		})
	}
	if got := put(t, address, valid()); got != http.StatusOK {
		t.Fatalf("status %d for a valid announcement", got)
	}
}

func put(t *testing.T, address string, a seamtarget.Announcement) int {
	t.Helper()
	body, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequest(http.MethodPut, "http://"+address+seamannounce.Path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	return p.StatusCode
}
