package seamroutes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/rule/seamrule"
)

// Table is a document compiled for route lookups. It is safe for concurrent use.
type Table struct {
	Document
	hosts    map[string]*hostRoutes
	services map[string]Service
	// splits are the routes that have several services, in the order of the document.
	splits []*routeState
	// regions are the regions that all restricted routes to a service allow.
	regions map[string][]string
}

// routeState is a route with the state of its weighted round-robin over services.
type routeState struct {
	Route
	mu sync.Mutex
	// weights are those of the services, divided by their greatest common divisor.
	weights     []int
	totalWeight int
	// credit is the current weight of each service in the smooth weighted round-robin.
	credit []int
	// started is whether the first service has been chosen.
	started bool
	// requests counts the requests of each part of a split; empty if they are not counted.
	requests []*metrics.Counter
}

// Compile builds the lookup table of a document, which must be valid.
func Compile(d Document) *Table {
	t := &Table{Document: d, hosts: map[string]*hostRoutes{}, services: map[string]Service{}, regions: serviceRegions(d)}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, r := range d.Routes {
		state := newRouteState(r)
		t.add(strings.ToLower(r.Host), state)
		if len(r.Services) > 1 {
			t.splits = append(t.splits, state)
		}
	}
	return t
}

// hostRoutes are the routes of a host.
type hostRoutes struct {
	byPrefix map[string]*routeState
	// longest is the length of the longest prefix.
	longest int
}

func (t *Table) add(host string, r *routeState) {
	h := t.hosts[host]
	if h == nil {
		h = &hostRoutes{byPrefix: map[string]*routeState{}}
		t.hosts[host] = h
	}
	h.byPrefix[r.Prefix] = r
	h.longest = max(h.longest, len(r.Prefix))
}

// maxStartSteps is the number of different positions in the weighted round-robin at which nodes start. It exceeds the period of two
// weights of up to 10,000, so that a part with a small weight gets its share also of nodes that send few requests.
const maxStartSteps = 20_000

func newRouteState(r Route) *routeState {
	n := &routeState{Route: r, credit: make([]int, len(r.Services))}
	divisor := 0
	for _, p := range r.Services {
		divisor = greatestCommonDivisor(divisor, p.Weight)
	}
	for _, p := range r.Services {
		n.weights = append(n.weights, p.Weight/max(divisor, 1))
		n.totalWeight += p.Weight / max(divisor, 1)
	}
	return n
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// start moves to a random position, so that the nodes together keep to the weights from the start. The caller holds mu.
func (r *routeState) start() {
	for range rand.N(min(max(r.totalWeight, 1), maxStartSteps)) {
		r.step()
	}
}

// nextService returns the service of the next request, and counts the request.
func (r *routeState) nextService() string {
	part := r.nextPart()
	if part < len(r.requests) {
		r.requests[part].Inc()
	}
	return r.Services[part].Service
}

// nextPart returns the index of the next service of a smooth weighted round-robin. Over any sequence of requests
// each service receives its share to within one request.
func (r *routeState) nextPart() int {
	if len(r.Services) == 1 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		r.started = true
		r.start()
	}
	return r.step()
}

// step returns the index of the next service. The caller holds mu.
func (r *routeState) step() int {
	best := 0
	for i, weight := range r.weights {
		r.credit[i] += weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= r.totalWeight
	return best
}

// DecisionError reports a request that can't be routed.
type DecisionError struct {
	StatusCode    int
	RefusalReason seamoutcome.Reason
	Detail        string
}

// Error returns the detail.
func (e *DecisionError) Error() string { return e.Detail }

// Status returns the HTTP status of the response.
func (e *DecisionError) Status() int { return e.StatusCode }

// Reason returns the refusal reason for the caller.
func (e *DecisionError) Reason() string { return string(e.RefusalReason) }

// Service returns the service with the name, and whether the document has it.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Decide returns the routing decision for a request. The error is *DecisionError.
func (t *Table) Decide(r *http.Request) (seamrule.Decision, error) {
	found := t.find(hostName(r.Host), pathOf(r.URL.RequestURI()))
	if found == nil {
		return seamrule.Decision{}, &DecisionError{
			StatusCode:    http.StatusNotFound,
			RefusalReason: seamoutcome.Service,
			Detail:        fmt.Sprintf("no route in revision %d for host %s and path %s", t.Revision, r.Host, pathOf(r.URL.RequestURI())),
		}
	}
	decision := seamrule.Decision{
		Selector:    found.Name,
		Service:     found.nextService(),
		Idempotency: seamrule.AtMostOnce,
		Priority:    found.Priority,
		Objective:   found.Objective,
		Regions:     found.Regions,
		Limits: seamrule.Limits{
			DeadlineMillis: int(found.Timeout.Milliseconds()),
			Retries:        found.MaxAttempts - 1,
		},
		Revision: t.Revision,
	}
	if found.Idempotent {
		decision.Idempotency = seamrule.Idempotent
	}
	if !t.services[decision.Service].Keyed {
		return decision, nil
	}
	return withKey(decision, r)
}

// withKey adds the key of a request to a decision.
func withKey(decision seamrule.Decision, r *http.Request) (seamrule.Decision, error) {
	key, err := strconv.ParseUint(r.Header.Get(seamheader.Key), 10, 32)
	if err != nil || key > seamtable.LastKey {
		return decision, &DecisionError{
			StatusCode:    http.StatusBadRequest,
			RefusalReason: seamoutcome.Key,
			Detail:        fmt.Sprintf("the request's key %q is not a number from 0 to %d", r.Header.Get(seamheader.Key), seamtable.LastKey),
		}
	}
	decision.Keyed, decision.Slot = true, uint32(key)
	return decision, nil
}

func (t *Table) find(host, path string) *routeState {
	h := t.hosts[host]
	if h == nil {
		return nil
	}
	for i := min(len(path), h.longest) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := h.byPrefix[path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pathOf returns the path of a request URI as the caller sent it, still escaped.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
