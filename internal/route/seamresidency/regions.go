// Package seamresidency decides in which regions a request may run. Every choice of a node for a request, and every relay of one, uses it.
package seamresidency

import (
	"fmt"
	"slices"
	"strings"
)

// noRegion is the only entry of a list that allows no region. Such a list can't be empty, since an empty list is no restriction.
const noRegion = ""

// Allows reports whether a request that is restricted to the regions may be sent to a node in the region. An empty list is no
// restriction. A restricted request is never sent to a node whose region is unknown.
func Allows(regions []string, region string) bool {
	return len(regions) == 0 || region != noRegion && slices.Contains(regions, region)
}

// Intersect returns the regions that both lists allow. If they have none in common, the result allows no region.
func Intersect(a, b []string) []string {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	var both []string
	for _, region := range a {
		if Allows(b, region) && !slices.Contains(both, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []string{noRegion}
	}
	return both
}

// AllowsNone reports whether the list allows no region at all.
func AllowsNone(regions []string) bool {
	return len(regions) > 0 && !slices.ContainsFunc(regions, func(region string) bool { return region != noRegion })
}

// maxNames is the number of regions that a log line or a response names.
const maxNames = 8

// Format returns the names of the first regions for a log line or a response.
func Format(regions []string) string {
	if AllowsNone(regions) {
		return "none"
	}
	names := strings.Join(regions[:min(len(regions), maxNames)], ", ")
	if more := len(regions) - maxNames; more > 0 {
		names += fmt.Sprintf(" and %d more", more)
	}
	return names
}
