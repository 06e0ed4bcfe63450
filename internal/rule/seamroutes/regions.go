package seamroutes

import (
	"slices"

	"cardamomseam/internal/route/seamresidency"
)

// serviceRegions returns, for each service with a restricted route, the regions that all its restricted routes allow. Parts of a split
// with the weight 0 get no requests, so that they restrict nothing.
func serviceRegions(d Document) map[string][]string {
	regions := map[string][]string{}
	for _, r := range d.Routes {
		for _, p := range r.Services {
			if p.Weight > 0 && len(r.Regions) > 0 {
				regions[p.Service] = seamresidency.Intersect(regions[p.Service], r.Regions)
			}
		}
	}
	return regions
}

// ServiceRegions returns the regions that all restricted routes to the service allow, in which its keys are placed. It is nil if no route
// restricts the service, or if no region is common to its restricted routes.
func (t *Table) ServiceRegions(service string) []string {
	if regions := t.regions[service]; len(regions) > 0 && !seamresidency.AllowsNone(regions) {
		return slices.Clone(regions)
	}
	return nil
}

// ConflictingServices returns the services whose restricted routes have no region in common, sorted. Some requests for the keys of such a
// service are refused wherever the keys are.
func (t *Table) ConflictingServices() []string {
	var names []string
	for service, regions := range t.regions {
		if seamresidency.AllowsNone(regions) {
			names = append(names, service)
		}
	}
	slices.Sort(names)
	return names
}

// RequestRegions returns the regions that the route for the host and the request URI allows, and false if there is no route.
func (t *Table) RequestRegions(host, uri string) ([]string, bool) {
	found := t.find(hostName(host), pathOf(uri))
	if found == nil {
		return nil, false
	}
	return found.Regions, true
}

// restrictedRoutes returns the number of routes that allow some regions only.
func (t *Table) restrictedRoutes() int {
	n := 0
	for _, r := range t.Routes {
		if len(r.Regions) > 0 {
			n++
		}
	}
	return n
}
