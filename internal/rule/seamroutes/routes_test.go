package seamroutes_test

import (
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/rule/seamrule"
)

func part(service string, weight int) seamroutes.WeightedService {
	return seamroutes.WeightedService{Service: service, Weight: weight}
}

func document(revision int64) seamroutes.Document {
	return seamroutes.Document{
		Revision: revision,
		Routes: []seamroutes.Route{
			{Name: "all", Host: "visits.example", Prefix: "/", Services: []seamroutes.WeightedService{part("web", 1)}, MaxAttempts: 1},
			{
				Name: "book", Host: "visits.example", Prefix: "/book/", Services: []seamroutes.WeightedService{part("booker", 90), part("trial", 10)},
				MaxAttempts: 2, Timeout: time.Second, Objective: 400 * time.Millisecond, Priority: 1,
			},
			{Name: "slots", Host: "visits.example", Prefix: "/book/slots/", Services: []seamroutes.WeightedService{part("calendar", 1)}, MaxAttempts: 3, Idempotent: true},
		},
		Services: []seamroutes.Service{{Name: "web"}, {Name: "booker"}, {Name: "trial"}, {Name: "calendar", Keyed: true}},
	}
}

func request(target, key string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	if key != "" {
		r.Header.Set(seamheader.Key, key)
	}
	return r
}

func TestLongestPrefixMatch(t *testing.T) {
	table := seamroutes.Compile(document(1))
	for target, want := range map[string]string{
		"http://visits.example/":                  "all",
		"http://VISITS.example/bookings":          "all",
		"http://visits.example/book/1?x=/slots/":  "book",
		"http://visits.example:8080/book/":        "book",
		"http://visits.example/book/slots/monday": "slots",
	} {
		choice, err := table.Decide(request(target, "7"))
		if err != nil || choice.Selector != want {
			t.Errorf("%s: got %q, %v; want %q", target, choice.Selector, err, want)
		}
	}
	var decision *seamroutes.DecisionError
	if _, err := table.Decide(request("http://other.example/", "")); !errors.As(err, &decision) || decision.Status() != http.StatusNotFound {
		t.Errorf("unknown host: %v", err)
	}
}

func TestDecisionCarriesRouteSettings(t *testing.T) {
	table := seamroutes.Compile(document(4))
	book, err := table.Decide(request("http://visits.example/book/1", ""))
	if err != nil || book.Idempotency != seamrule.AtMostOnce || book.Limits.Retries != 1 || book.Limits.DeadlineMillis != 1000 || book.Objective != 400*time.Millisecond || book.Priority != 1 || book.Revision != 4 {
		t.Errorf("book: %+v, %v", book, err)
	}
	slots, err := table.Decide(request("http://visits.example/book/slots/1", "65535"))
	if err != nil || slots.Idempotency != seamrule.Idempotent || !slots.Keyed || slots.Slot != 65535 || slots.Service != "calendar" {
		t.Errorf("slots: %+v, %v", slots, err)
	}
	for _, key := range []string{"", "-1", "65536", "monday"} {
		var decision *seamroutes.DecisionError
		if _, err := table.Decide(request("http://visits.example/book/slots/1", key)); !errors.As(err, &decision) || decision.Status() != http.StatusBadRequest {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

func TestWeightedSplit(t *testing.T) {
	table := seamroutes.Compile(document(1))
	const requests = 1000
	n := 0
	for range requests {
		choice, err := table.Decide(request("http://visits.example/book/1", ""))
		if err != nil {
			t.Fatal(err)
		}
		if choice.Service == "trial" {
			n++
		}
	}
	if share := float64(n) / requests; math.Abs(share-0.1) > 0.005 {
		t.Errorf("the part of weight 10 got %.3f", share)
	}
}

func TestApplyIgnoresLowerRevisions(t *testing.T) {
	book := seamroutes.NewActiveTable(seamevent.NewStream("n"))
	var heard []int64
	book.Subscribe(func(t *seamroutes.Table) { heard = append(heard, t.Revision) })
	for _, revision := range []int64{3, 5, 4, 5, 9} {
		if err := book.Apply(time.Unix(0, 0), document(revision), "test"); err != nil {
			t.Fatal(err)
		}
	}
	if len(heard) != 3 || heard[2] != 9 || book.Revision() != 9 {
		t.Errorf("in force were %v", heard)
	}
}

func TestApplyRejectsInvalidDocument(t *testing.T) {
	for name, spoil := range map[string]func(*seamroutes.Document){
		"no revision":     func(d *seamroutes.Document) { d.Revision = 0 },
		"unknown service": func(d *seamroutes.Document) { d.Services = d.Services[:1] },
		"service twice":   func(d *seamroutes.Document) { d.Services[1].Name = "web" },
		"no host":         func(d *seamroutes.Document) { d.Routes[0].Host = "" },
		"prefix":          func(d *seamroutes.Document) { d.Routes[1].Prefix = "/book" },
		"no attempts":     func(d *seamroutes.Document) { d.Routes[0].MaxAttempts = 0 },
		"no parts":        func(d *seamroutes.Document) { d.Routes[0].Services = nil },
		"no weight":       func(d *seamroutes.Document) { d.Routes[0].Services[0].Weight = 0 },
		"same place":      func(d *seamroutes.Document) { d.Routes[1].Prefix = "/" },
	} {
		t.Run(name, func(t *testing.T) {
			book := seamroutes.NewActiveTable(seamevent.NewStream("n"))
			if err := book.Apply(time.Unix(0, 0), document(1), "test"); err != nil {
				t.Fatal(err)
			}
			d := document(2)
			spoil(&d)
			var invalid *seamroutes.InvalidDocumentError
			if err := book.Apply(time.Unix(0, 0), d, "test"); !errors.As(err, &invalid) {
				t.Errorf("got %v", err)
			}
			if book.Revision() != 1 {
				t.Errorf("revision %d is in force", book.Revision())
			}
		})
	}
}

func TestDecideWithoutRoutesReturns503(t *testing.T) {
	book := seamroutes.NewActiveTable(seamevent.NewStream("n"))
	var decision *seamroutes.DecisionError
	if _, err := book.Decide(request("http://visits.example/", ""), "", ""); !errors.As(err, &decision) || decision.Status() != http.StatusServiceUnavailable {
		t.Errorf("got %v", err)
	}
}
