// Package seamroutes holds the table of routes: which service runs a request, how often it may be
// sent, and in which time.
package seamroutes

import (
	"fmt"
	"strings"
	"time"
)

// Document is one version of the routes, the services and the limits.
type Document struct {
	// Revision rises with each version.
	Revision int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says what happens to the requests for a host whose path begins with a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest one that fits counts.
	Prefix string
	// Parts are the services that run the requests, by weight.
	Services []WeightedService
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is prompt; 0 means none.
	Objective time.Duration
	// Priority ranks the requests, 0 highest.
	Priority int
	// Attempts is the number of targets to which one request may be sent.
	MaxAttempts int
}

// Part is a service with its share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is what all routes to a service share.
type Service struct {
	Name string
	// Keyed says that a target serves only the keys that are assigned to it.
	Keyed bool
	// Connections is the number of connections that a target accepts; 0 means that it is not known.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	// Header and Body are sizes in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTime is the time in which the header of a request arrives.
	HeaderTimeout time.Duration
	// Idle is the time for which a connection may stay idle.
	IdleTimeout time.Duration
}

// InvalidError says that a document can't be applied.
type InvalidDocumentError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *InvalidDocumentError) Error() string {
	return fmt.Sprintf("routes: %s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Check returns *InvalidError for a document that can't be applied.
func (d Document) Validate() error {
	if d.Revision <= 0 {
		return &InvalidDocumentError{"revision", fmt.Sprint(d.Revision), "a number above 0"}
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return &InvalidDocumentError{"service name", s.Name, "a name that stands once"}
		}
		services[s.Name] = true
	}
	places := map[string]bool{}
	for _, r := range d.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if places[place] {
			return &InvalidDocumentError{"host and prefix of route " + r.Name, place, "a place that no other route has"}
		}
		places[place] = true
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
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
		return &InvalidDocumentError{"weights of route " + r.Name, "0", "at least one above 0"}
	}
	return nil
}
