package seamroutes

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/rule/seamrule"
)

// Table is a document prepared for looking up requests. It is safe for concurrent use.
type Table struct {
	Document
	hosts    map[string][]*row
	services map[string]Service
}

// row is a route with the state of its division among services.
type row struct {
	Route
	mu sync.Mutex
	// credit is what each part is owed, in units of weight.
	credit []int
	sum    int
}

// Compile prepares a document, which has been checked.
func Compile(d Document) *Table {
	t := &Table{Document: d, hosts: map[string][]*row{}, services: map[string]Service{}}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newRow(r))
	}
	for _, rows := range t.hosts {
		slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

func newRow(r Route) *row {
	n := &row{Route: r, credit: make([]int, len(r.Services))}
	for _, p := range r.Services {
		n.sum += p.Weight
	}
	// Nodes begin at different places, so that all together divide evenly at once.
	for range rand.N(max(n.sum, 1)) {
		if len(r.Services) > 1 {
			n.next()
		}
	}
	return n
}

// next returns the service whose turn it is. Over any run of requests each part gets its
// share to within one request.
func (r *row) next() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for i, p := range r.Services {
		r.credit[i] += p.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= r.sum
	return r.Services[best].Service
}

// DecisionError says that a request goes nowhere.
type DecisionError struct {
	StatusCode    int
	RefusalReason seamoutcome.Reason
	Detail        string
}

// Error gives the detail.
func (e *DecisionError) Error() string { return e.Detail }

// Status returns the HTTP status of the answer.
func (e *DecisionError) Status() int { return e.StatusCode }

// Reason returns the reason of the refusal.
func (e *DecisionError) Reason() string { return string(e.RefusalReason) }

// Service returns a service of the document.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Decide returns the choice for a request. The error is *DecisionError.
func (t *Table) Decide(r *http.Request) (seamrule.Decision, error) {
	found := t.find(hostOf(r), pathOf(r))
	if found == nil {
		return seamrule.Decision{}, &DecisionError{
			StatusCode:    http.StatusNotFound,
			RefusalReason: seamoutcome.Service,
			Detail:        fmt.Sprintf("no route in revision %d for host %s and path %s", t.Revision, r.Host, pathOf(r)),
		}
	}
	choice := seamrule.Decision{
		Selector:    found.Name,
		Service:     found.next(),
		Idempotency: seamrule.AtMostOnce,
		Priority:    found.Priority,
		Objective:   found.Objective,
		Limits: seamrule.Limits{
			DeadlineMillis: int(found.Timeout.Milliseconds()),
			Retries:        found.MaxAttempts - 1,
		},
		Revision: t.Revision,
	}
	if found.Idempotent {
		choice.Idempotency = seamrule.Idempotent
	}
	if !t.services[choice.Service].Keyed {
		return choice, nil
	}
	return keyed(choice, r)
}

// keyed adds the key of a request to a choice.
func keyed(choice seamrule.Decision, r *http.Request) (seamrule.Decision, error) {
	key, err := strconv.ParseUint(r.Header.Get(seamheader.Key), 10, 32)
	if err != nil || key > seamtable.LastKey {
		return choice, &DecisionError{
			StatusCode:    http.StatusBadRequest,
			RefusalReason: seamoutcome.Key,
			Detail:        fmt.Sprintf("the key %q of the request is no number from 0 to %d", r.Header.Get(seamheader.Key), seamtable.LastKey),
		}
	}
	choice.Keyed, choice.Slot = true, uint32(key)
	return choice, nil
}

func (t *Table) find(host, path string) *row {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostOf(r *http.Request) string {
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.URL.RequestURI(), "?")
	return path
}
