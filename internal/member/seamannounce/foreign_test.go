package seamannounce_test

import (
	"errors"
	"testing"
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
)

// heartbeatInterval is the time between two announcements of a target.
const heartbeatInterval = 870 * time.Millisecond

// announced returns an announcement of a target that started at the given time.
func announced(name string, started int64, sequence uint64) seamtarget.Announcement {
	a := validAnnouncement()
	a.Name, a.Started, a.Sequence = name, started, sequence
	return a
}

// TestForeignAnnouncementIsRejected guards against an announcement of another writer that takes the place of the node's target.
func TestForeignAnnouncementIsRejected(t *testing.T) {
	own := announced("own", 1000, 1)
	for name, change := range map[string]func(*seamtarget.Announcement){
		"service that no configuration has": func(a *seamtarget.Announcement) { a.Service = "elsewhere" },
		"service that exists":               func(a *seamtarget.Announcement) { a.Service = "booker" },
		"service and own id":                func(a *seamtarget.Announcement) { a.Service, a.Name = "booker", own.Name },
		"own service, other address":        func(a *seamtarget.Announcement) { a.Address = "127.0.0.1:9" },
		"own id, other address":             func(a *seamtarget.Announcement) { a.Address, a.Name = "127.0.0.1:9", own.Name },
		"start far ahead":                   func(a *seamtarget.Announcement) { a.Address, a.Started = "127.0.0.1:9", 1<<52 },
	} {
		t.Run(name, func(t *testing.T) {
			r := seamannounce.NewRegistry(time.Hour, seamevent.NewStream("n"), &recorder{})
			r.Expect(seamannounce.Expected{Service: own.Service, Address: own.Address})
			if err := r.Announce(time.Unix(1, 0), own); err != nil {
				t.Fatal(err)
			}
			foreign := announced("foreign", 2000, 9)
			change(&foreign)
			var rejected *seamannounce.ForeignError
			if err := r.Announce(time.Unix(2, 0), foreign); !errors.As(err, &rejected) {
				t.Errorf("got error %v, want *ForeignError", err)
			}
			if a, ok := r.Current(); !ok || a.Name != own.Name || a.Service != own.Service || a.Address != own.Address {
				t.Errorf("the target is %+v", a)
			}
		})
	}
}

// TestNewStartIsAcceptedAtOnce guards against a check of announcements that keeps a genuine new start waiting.
func TestNewStartIsAcceptedAtOnce(t *testing.T) {
	r := seamannounce.NewRegistry(time.Hour, seamevent.NewStream("n"), &recorder{})
	r.Expect(seamannounce.Expected{Service: "calendar", Address: "127.0.0.1:9000"})
	for i, a := range []seamtarget.Announcement{announced("first", 1000, 5), announced("second", 2000, 1), announced("second", 3000, 1)} {
		if err := r.Announce(time.Unix(int64(i), 0), a); err != nil {
			t.Fatal(err)
		}
		if got, _ := r.Current(); got.Name != a.Name || got.Started != a.Started {
			t.Errorf("the target is %s, started at %d, after the start of %s at %d", got.Name, got.Started, a.Name, a.Started)
		}
	}
}

// TestTargetReturnsAfterAForeignAnnouncement guards against one announcement that no field tells from a new start and that takes
// the place of the target for good.
func TestTargetReturnsAfterAForeignAnnouncement(t *testing.T) {
	for _, ended := range []bool{false, true} {
		r := seamannounce.NewRegistry(time.Hour, seamevent.NewStream("n"), &recorder{})
		now := time.Unix(100, 0)
		announce := func(a seamtarget.Announcement) {
			if err := r.Announce(now, a); err != nil {
				t.Fatal(err)
			}
		}
		announce(announced("own", 1000, 1))
		announce(announced("foreign", 1<<52, 1))
		if ended {
			r.ProcessEnded(now, "foreign", 1<<52)
		}
		const most = 5 * time.Second
		start := now
		for sequence := uint64(2); now.Sub(start) < most; sequence++ {
			now = now.Add(heartbeatInterval)
			announce(announced("own", 1000, sequence))
		}
		if a, ok := r.Current(); !ok || a.Name != "own" {
			t.Errorf("foreign target ended %v: the target is %+v, present %v, after %v", ended, a, ok, most)
		}
	}
}

// TestLateAnnouncementsReplaceNothing guards against announcements that arrive after their sender has ended.
func TestLateAnnouncementsReplaceNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		// gap is the time between two announcements of the former incarnation, and silent whether the current one is silent.
		gap    time.Duration
		silent bool
	}{
		{"beside those of the current one", heartbeatInterval, false},
		{"at once, while the current one is silent", 10 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := seamannounce.NewRegistry(time.Hour, seamevent.NewStream("n"), &recorder{})
			now := time.Unix(100, 0)
			if err := r.Announce(now, announced("current", 2000, 1)); err != nil {
				t.Fatal(err)
			}
			for sequence := uint64(2); sequence < 20; sequence++ {
				now = now.Add(tt.gap)
				list := []seamtarget.Announcement{announced("former", 1000, sequence)}
				if !tt.silent {
					list = append(list, announced("current", 2000, sequence))
				}
				for _, a := range list {
					if err := r.Announce(now, a); err != nil {
						t.Fatal(err)
					}
				}
			}
			if a, _ := r.Current(); a.Name != "current" {
				t.Errorf("the target is %s", a.Name)
			}
		})
	}
}
