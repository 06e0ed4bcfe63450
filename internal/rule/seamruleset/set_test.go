package seamruleset_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamruleset"
)

var now = time.Unix(1_700_000_000, 0)

func newSet() *seamruleset.Set {
	return seamruleset.New(seamevent.NewStream("n1"), metrics.NewSet())
}

func calendar() seamrule.Document {
	return seamrule.Document{
		Service: "calendar",
		Keyed: &seamrule.Keyed{
			KeySource: "query:household",
			Slots:     12,
			Homes:     []seamrule.Home{{Region: "erie", Prefixes: []string{"e-"}}, {Region: "superior", Prefixes: []string{"s-"}}},
		},
		Selectors: []seamrule.Selector{{Name: "all"}},
	}
}

func version(d seamrule.Document, revision int64) seamrule.Version {
	return seamrule.Version{Service: d.Service, Revision: revision, Document: d}
}

func apply(t *testing.T, s *seamruleset.Set, versions ...seamrule.Version) bool {
	t.Helper()
	changed, err := s.Apply(now, seamruleset.NewBundle(versions))
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func TestDecide(t *testing.T) {
	s := newSet()
	r := httptest.NewRequest(http.MethodGet, "/visits?household=s-17", http.NoBody)
	var notReady *seamruleset.NotReadyError
	if _, err := s.Decide(r, "calendar", "erie"); !errors.As(err, &notReady) {
		t.Fatalf("before any rules: %v", err)
	}
	apply(t, s, version(calendar(), 7))
	c, err := s.Decide(r, "calendar", "erie")
	if err != nil {
		t.Fatal(err)
	}
	if !c.Keyed || c.Slot != seamslot.Hash("s-17", 6, 12) || c.Revision != 7 || c.Selector != "all" {
		t.Fatalf("got %+v", c)
	}
	var unknown *seamrule.UnknownServiceError
	if _, err := s.Decide(r, "tally", "erie"); !errors.As(err, &unknown) || unknown.Status() != 404 || unknown.Reason() != "service" {
		t.Fatalf("unknown service: %v", err)
	}
	var missing *seamrule.KeyError
	r = httptest.NewRequest(http.MethodGet, "/visits", http.NoBody)
	if _, err := s.Decide(r, "calendar", "erie"); !errors.As(err, &missing) || missing.Status() != 400 || missing.Reason() != "key" {
		t.Fatalf("missing key: %v", err)
	}
}

func TestApplyIgnoresSameOrLowerRevisions(t *testing.T) {
	s := newSet()
	old, later := calendar(), calendar()
	later.Limits.Retries = 2
	var seen []int64
	s.Subscribe(now, func(_ time.Time, b seamruleset.Bundle) { seen = append(seen, b.Revision) })
	if !apply(t, s, version(later, 9)) {
		t.Fatal("the first bundle was not applied")
	}
	if apply(t, s, version(old, 4)) || apply(t, s, version(old, 9)) {
		t.Fatal("a bundle that is not higher was applied")
	}
	tally := seamrule.Document{Service: "tally", Selectors: []seamrule.Selector{{Name: "all"}}}
	apply(t, s, version(old, 4), version(tally, 11))
	v, _ := s.Bundle().Find("calendar")
	if v.Revision != 9 || v.Document.Limits.Retries != 2 {
		t.Fatalf("calendar reverted to a lower revision: %+v", v)
	}
	deleted := version(later, 12)
	deleted.Deleted = true
	apply(t, s, deleted)
	if _, found := s.Bundle().Find("tally"); !found || s.Revision() != 12 {
		t.Fatal("a bundle without the service removed it")
	}
	if apply(t, s, version(later, 9)) {
		t.Fatal("a deleted service was restored by an older version")
	}
	if len(seen) != 3 || seen[0] != 9 || seen[1] != 11 || seen[2] != 12 {
		t.Fatalf("subscriber received revisions %v", seen)
	}
}

func TestApplyRejectsInvalidDocument(t *testing.T) {
	s := newSet()
	apply(t, s, version(calendar(), 3))
	bad := calendar()
	bad.Selectors[0].Targets = "zone in"
	if _, err := s.Apply(now, seamruleset.NewBundle([]seamrule.Version{version(bad, 5)})); err == nil {
		t.Fatal("no error")
	}
	if s.Revision() != 3 {
		t.Fatalf("revision %d", s.Revision())
	}
}

func TestReady(t *testing.T) {
	s := newSet()
	s.RequireRevision(5)
	apply(t, s, version(calendar(), 4))
	if s.Ready() {
		t.Fatal("ready below the required revision")
	}
	apply(t, s, version(calendar(), 6))
	s.RequireRevision(2)
	if !s.Ready() {
		t.Fatal("not ready at a higher revision")
	}
}

func BenchmarkDecide(b *testing.B) {
	s := newSet()
	if _, err := s.Apply(now, seamruleset.NewBundle([]seamrule.Version{version(calendar(), 1)})); err != nil {
		b.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodGet, "/visits?household=s-17", http.NoBody)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Decide(r, "calendar", "erie"); err != nil {
			b.Fatal(err)
		}
	}
}
