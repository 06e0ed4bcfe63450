package seamrule

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"cardamomseam/internal/rule/seamlabel"
)

// TryResult is a document's routing decision for one request and the instances that match it.
type TryResult struct {
	Selector string `json:"selector"`
	Keyed    bool   `json:"keyed,omitempty"`
	Key      string `json:"key,omitempty"`
	Slot     uint32 `json:"slot,omitempty"`
	Limits   Limits `json:"limits"`
	// Targets are the names of the matching instances, sorted.
	Targets []string `json:"targets"`
}

// Try returns the decision for a request from a caller in the region without sending the request.
// If several selectors split the traffic by weight, it chooses one of them at random.
// Errors are *KeyError and *UnmatchedError.
func (p *Program) Try(r *http.Request, region string, instances []Instance) (TryResult, error) {
	key, err := p.Key(r)
	if err != nil {
		return TryResult{}, err
	}
	q := Query{Service: p.document.Service, Method: r.Method, Path: r.URL.Path, Key: key, Region: region, Random: rand.Float64()}
	decision, err := p.Decide(q)
	if err != nil {
		return TryResult{}, err
	}
	return TryResult{
		Selector: decision.Selector,
		Keyed:    decision.Keyed,
		Key:      key,
		Slot:     decision.Slot,
		Limits:   decision.Limits,
		Targets:  p.document.matchingInstances(decision.Targets, instances),
	}, nil
}

// matchingInstances returns the names of the instances whose labels match, sorted.
func (d Document) matchingInstances(targets LabelMatcher, instances []Instance) []string {
	names := []string{}
	for _, i := range instances {
		if targets.Matches(d.LabelsOf(i)) {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Warning describes a likely mistake in a valid document.
type Warning struct {
	// Selector is the name of the selector, or empty if the warning concerns the whole document.
	Selector string `json:"selector,omitempty"`
	// Kind is one of the Warn constants.
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Kinds of warnings.
const (
	// WarnNoMatchingInstance means that a selector matches no known instance.
	WarnNoMatchingInstance = "nothing"
	// WarnNoSelectableInstance means that no selector matches any known instance, so that the service
	// can't be served.
	WarnNoSelectableInstance = "empty"
	// WarnUnmatchedRequests means that some requests match no selector.
	WarnUnmatchedRequests = "uncovered"
	// WarnUnknownInstance means that labels are set for an unknown instance.
	WarnUnknownInstance = "unknown"
)

// Warnings returns the likely mistakes in a valid document, given the known instances.
func Warnings(d Document, instances []Instance) []Warning {
	var warnings []Warning
	selectable, catchAll := false, false
	for _, s := range d.Selectors {
		targets, _ := seamlabel.Parse(s.Targets)
		catchAll = catchAll || s.Match.Prefix == "" && s.Match.Path == "" && len(s.Match.Methods) == 0 && len(s.Match.Regions) == 0
		if len(d.matchingInstances(targets, instances)) > 0 {
			selectable = true
			continue
		}
		text := fmt.Sprintf("selector %q matches no instance: no known instance has labels that match %q", s.Name, s.Targets)
		if s.Targets == "" {
			text = fmt.Sprintf("selector %q matches no instance: no instance of the service is known", s.Name)
		}
		warnings = append(warnings, Warning{Selector: s.Name, Kind: WarnNoMatchingInstance, Text: text})
	}
	if !selectable {
		warnings = append(warnings, Warning{Kind: WarnNoSelectableInstance, Text: fmt.Sprintf("service %q can't be served: no selector matches a known instance", d.Service)})
	}
	if !catchAll {
		warnings = append(warnings, Warning{Kind: WarnUnmatchedRequests, Text: "no selector matches every request; requests that match none get status 404"})
	}
	for _, name := range sortedKeys(d.Labels) {
		warnings = append(warnings, LabelWarnings(name, instances)...)
	}
	return warnings
}

// LabelWarnings returns a warning if labels are set for an instance that is not among the known ones.
func LabelWarnings(instance string, instances []Instance) []Warning {
	if slices.ContainsFunc(instances, func(i Instance) bool { return i.Name == instance }) {
		return nil
	}
	return []Warning{{Kind: WarnUnknownInstance, Text: fmt.Sprintf("labels are set for %q, which is not a known instance", instance)}}
}
