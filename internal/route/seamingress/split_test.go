package seamingress_test

import (
	"net/http"
	"sync"
	"testing"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/rule/seamroutes"
)

// newSplit returns a node whose route sends half of the requests to each of the services booker and trial.
func newSplit(t *testing.T, candidates map[string][]seampick.Candidate) *node {
	t.Helper()
	table := seamroutes.Compile(seamroutes.Document{
		Revision: 1,
		Services: []seamroutes.Service{{Name: "booker"}, {Name: "trial"}},
		Routes: []seamroutes.Route{{
			Name: "split", Host: "127.0.0.1", Prefix: "/", Idempotent: true, MaxAttempts: 4,
			Services: []seamroutes.WeightedService{{Service: "booker", Weight: 1}, {Service: "trial", Weight: 1}},
		}},
	})
	front := newNode(t, "front", nil)
	front.rules.decide = table.Decide
	front.directory.byService = candidates
	return front
}

// Guards against a retry at a target of the other part.
func TestRetryStaysInItsPartOfTheSplit(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]map[string]int{}
	handler := func(service string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("X-Id")
			if attempts[id] == nil {
				attempts[id] = map[string]int{}
			}
			if attempts[id][service]++; attempts[id][service] < 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
	}
	candidates := map[string][]seampick.Candidate{}
	for _, service := range []string{"booker", "trial"} {
		n := newNode(t, service, handler(service))
		n.target.announced.Service = service
		candidates[service] = candidatesOf(n)
	}
	front := newSplit(t, candidates)
	parts := map[string]int{}
	for i := range 10 {
		r, _ := http.NewRequest(http.MethodGet, front.url("/book"), nil)
		id := string(rune('a' + i))
		r.Header.Set("X-Id", id)
		do(t, r).expect(t, http.StatusOK, seamoutcome.Done, "")
		if len(attempts[id]) != 1 {
			t.Errorf("a request was sent to the parts %v", attempts[id])
		}
		for part := range attempts[id] {
			parts[part]++
		}
	}
	if parts["booker"] != 5 || parts["trial"] != 5 {
		t.Errorf("requests by part: %v", parts)
	}
}

// Guards against a part without targets whose share goes to the other one.
func TestPartWithoutTargetsRejectsItsShare(t *testing.T) {
	back := newNode(t, "back", echo)
	front := newSplit(t, map[string][]seampick.Candidate{"booker": candidatesOf(back)})
	refused := 0
	for range 40 {
		r, _ := http.NewRequest(http.MethodGet, front.url("/book"), nil)
		got := do(t, r)
		if got.status != http.StatusOK {
			got.expect(t, http.StatusServiceUnavailable, seamoutcome.Refused, seamoutcome.Target)
			if got.header.Get(seamheader.After) == "" {
				t.Error("the refusal has no delay")
			}
			refused++
		}
	}
	if refused != 20 {
		t.Errorf("%d of 40 requests were refused, want 20", refused)
	}
}
