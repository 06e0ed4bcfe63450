package seamrule

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"cardamomseam/internal/rule/seamlabel"
)

// Trial tells what a document would do with one request.
type TryResult struct {
	Selector string `json:"selector"`
	Keyed    bool   `json:"keyed,omitempty"`
	Key      string `json:"key,omitempty"`
	Slot     uint32 `json:"slot,omitempty"`
	Limits   Limits `json:"limits"`
	// Targets are the names of the instances chosen from, in order.
	Targets []string `json:"targets"`
}

// Try tells what the program would do with the request of a caller in the region.
// Where selectors share traffic by weight, it draws one of them.
// Errors are *KeyError and *UnmatchedError.
func (p *Program) Try(r *http.Request, region string, instances []Instance) (TryResult, error) {
	key, err := p.Key(r)
	if err != nil {
		return TryResult{}, err
	}
	q := Query{Service: p.document.Service, Method: r.Method, Path: r.URL.Path, Key: key, Region: region, Random: rand.Float64()}
	choice, err := p.Decide(q)
	if err != nil {
		return TryResult{}, err
	}
	return TryResult{
		Selector: choice.Selector,
		Keyed:    choice.Keyed,
		Key:      key,
		Slot:     choice.Slot,
		Limits:   choice.Limits,
		Targets:  p.document.selected(choice.Targets, instances),
	}, nil
}

// selected returns the names of the instances that match, in order.
func (d Document) selected(targets LabelMatcher, instances []Instance) []string {
	names := []string{}
	for _, i := range instances {
		if targets.Matches(d.LabelsOf(i)) {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Warning is a likely mistake in a valid document.
type Warning struct {
	// Selector is the name of the selector, or empty if the whole document is meant.
	Selector string `json:"selector,omitempty"`
	// Kind is one of the kinds below.
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Kinds of warnings.
const (
	// WarnNothing means that the selector chooses no instance that is known now.
	WarnNoMatchingInstance = "nothing"
	// WarnEmpty means that no selector chooses any instance, so the service cannot be served.
	WarnNoSelectableInstance = "empty"
	// WarnUncovered means that some requests match no selector.
	WarnUnmatchedRequests = "uncovered"
	// WarnUnknown means that labels are set for an instance that is not known now.
	WarnUnknownInstance = "unknown"
)

// Warnings returns the likely mistakes of a valid document, given the instances known now.
func Warnings(d Document, instances []Instance) []Warning {
	var warnings []Warning
	chosen, covered := false, false
	for _, s := range d.Selectors {
		targets, _ := seamlabel.Parse(s.Targets)
		covered = covered || s.Match.Prefix == "" && s.Match.Path == "" && len(s.Match.Methods) == 0 && len(s.Match.Regions) == 0
		if len(d.selected(targets, instances)) > 0 {
			chosen = true
			continue
		}
		text := fmt.Sprintf("selector %q matches nothing: no known instance has %q", s.Name, s.Targets)
		if s.Targets == "" {
			text = fmt.Sprintf("selector %q matches nothing: no target of the service is known", s.Name)
		}
		warnings = append(warnings, Warning{Selector: s.Name, Kind: WarnNoMatchingInstance, Text: text})
	}
	if !chosen {
		warnings = append(warnings, Warning{Kind: WarnNoSelectableInstance, Text: fmt.Sprintf("the document empties service %q: no selector matches a known instance", d.Service)})
	}
	if !covered {
		warnings = append(warnings, Warning{Kind: WarnUnmatchedRequests, Text: "no selector matches every request; requests that match none get status 404"})
	}
	for _, name := range sortedKeys(d.Labels) {
		warnings = append(warnings, LabelWarnings(name, instances)...)
	}
	return warnings
}

// LabelWarnings returns the likely mistake of labels for an instance, given those known now.
func LabelWarnings(instance string, instances []Instance) []Warning {
	if slices.ContainsFunc(instances, func(i Instance) bool { return i.Name == instance }) {
		return nil
	}
	return []Warning{{Kind: WarnUnknownInstance, Text: fmt.Sprintf("labels are set for %q, which is no known instance", instance)}}
}
