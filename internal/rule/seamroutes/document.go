// Package seamroutes implements the route table. It maps the host and path of a request to a service
// and to the request's retry limit, timeout, latency objective and priority.
package seamroutes

import (
	"fmt"
	"strings"
	"time"
)

// Document is one revision of the routes, the services and the request limits.
type Document struct {
	// Revision increases with each change of the document.
	Revision int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route configures the requests for one host whose path begins with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest matching prefix wins.
	Prefix string
	// Services share the requests in proportion to their weights.
	Services []WeightedService
	// Idempotent allows a request to be executed more than once.
	Idempotent bool
	// Timeout bounds the time until a caller receives its response; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective for responses; 0 means none.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts int
	// Regions are the regions in which the requests may run; empty means no restriction. A name that no instance has is allowed.
	Regions []string
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service holds the settings of a service that apply to all routes to it.
type Service struct {
	Name string
	// Keyed means that each target serves only the keys that are assigned to it.
	Keyed bool
	// MaxConnections is the number of connections that a target accepts; 0 means unknown.
	MaxConnections int
	// WarmupRate is the number of requests per second that a cold target can handle from all nodes together; 0 means that a cold target
	// is not limited.
	WarmupRate float64
	// Warmup is the time for which a target is cold after a start; 0 means unknown.
	Warmup time.Duration
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection may stay idle.
	IdleTimeout time.Duration
}

// InvalidDocumentError reports a field of a document that has an invalid value.
type InvalidDocumentError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *InvalidDocumentError) Error() string {
	return fmt.Sprintf("routes: %s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Validate returns *InvalidDocumentError if the document can't be applied.
func (d Document) Validate() error {
	if d.Revision <= 0 {
		return &InvalidDocumentError{"revision", fmt.Sprint(d.Revision), "a number above 0"}
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return &InvalidDocumentError{"service name", s.Name, "a unique, non-empty name"}
		}
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for _, r := range d.Routes {
		if err := r.validate(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if seen[place] {
			return &InvalidDocumentError{"host and prefix of route " + r.Name, place, "a combination that no other route has"}
		}
		seen[place] = true
	}
	return nil
}

func (r Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return &InvalidDocumentError{"host of route " + r.Name, r.Host, "a host name"}
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return &InvalidDocumentError{"prefix of route " + r.Name, r.Prefix, "a path that begins and ends with a slash"}
	case r.MaxAttempts < 1:
		return &InvalidDocumentError{"attempts of route " + r.Name, fmt.Sprint(r.MaxAttempts), "1 or more"}
	case len(r.Services) == 0:
		return &InvalidDocumentError{"services of route " + r.Name, "", "at least one service"}
	}
	sum := 0
	for _, p := range r.Services {
		if !services[p.Service] {
			return &InvalidDocumentError{"service of route " + r.Name, p.Service, "a service of the document"}
		}
		if p.Weight < 0 {
			return &InvalidDocumentError{"weight in route " + r.Name, fmt.Sprint(p.Weight), "0 or more"}
		}
		sum += p.Weight
	}
	if sum == 0 {
		return &InvalidDocumentError{"weights of route " + r.Name, "0", "at least one weight above 0"}
	}
	return nil
}
