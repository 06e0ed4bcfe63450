package seamrule

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"cardamomseam/internal/rule/seamlabel"
)

// Bounds of documents.
const (
	// MaxSlots is the largest number of slots of one service.
	MaxSlots = 1 << 16
	// MaxSelectors is the largest number of selectors of one document.
	MaxSelectors = 256
	// MaxWeight is the largest weight of a selector.
	MaxWeight = 1_000_000
	// MaxDeadline is the longest deadline, in milliseconds.
	MaxDeadlineMillis = 600_000
	// MaxRetries is the largest number of further attempts.
	MaxRetries = 10
	// MaxQueue is the longest queue at a target's node.
	MaxQueueLength = 10_000
	// maxService is the longest name of a service, in bytes.
	maxService = 63
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

var reserved = []string{LabelInstance, LabelRegion, LabelDomain}

// Validate checks a document. The error is a FieldErrors with every fault.
func Validate(d Document) error {
	var f fields
	f.check(ValidService(d.Service), "service", d.Service, "a name of lower-case letters, digits and inner hyphens, at most 63 long")
	f.keyed(d.Keyed)
	f.selectors(d)
	f.limits(d.Limits, "limits")
	f.place(d.Placement)
	f.labels(d.Labels)
	return f.err()
}

// ValidService reports whether name may name a service.
func ValidService(name string) bool {
	if name == "" || len(name) > maxService || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ValidateChange checks that the next document of a service keeps what cannot change:
// whether it is keyed, its slots and its homes. The error is a FieldErrors.
func ValidateChange(old, next Document) error {
	var f fields
	f.check(old.Service == next.Service, "service", next.Service, "the service of the document it replaces, "+old.Service)
	f.check((old.Keyed == nil) == (next.Keyed == nil), "keyed", next.Keyed != nil, "what it was; a service cannot become keyed or cease to be")
	if old.Keyed != nil && next.Keyed != nil {
		f.check(old.Keyed.Slots == next.Keyed.Slots, "keyed.slots", next.Keyed.Slots, fmt.Sprintf("%d, which cannot change", old.Keyed.Slots))
		f.check(slices.EqualFunc(old.Keyed.Homes, next.Keyed.Homes, sameHome), "keyed.homes", next.Keyed.Homes, "what it was; homes cannot change")
	}
	return f.err()
}

func sameHome(a, b Home) bool {
	return a.Region == b.Region && slices.Equal(a.Prefixes, b.Prefixes)
}

func (f *fields) keyed(k *Keyed) {
	if k == nil {
		return
	}
	_, ok := parseSource(k.KeySource)
	f.check(ok, "keyed.key", k.KeySource, "header:NAME, query:NAME or path:N with N from 1")
	f.check(k.Slots >= 1 && k.Slots <= MaxSlots, "keyed.slots", k.Slots, fmt.Sprintf("between 1 and %d", MaxSlots))
	f.check(len(k.Homes) <= int(k.Slots), "keyed.homes", len(k.Homes), "at most as many as slots")
	regions := map[string]bool{}
	prefixes := map[string]bool{}
	for i, h := range k.Homes {
		path := fmt.Sprintf("keyed.homes[%d]", i)
		f.check(h.Region != "" && !regions[h.Region], path+".region", h.Region, "a region not named before")
		regions[h.Region] = true
		for j, p := range h.Prefixes {
			f.check(p != "" && !prefixes[p], fmt.Sprintf("%s.prefixes[%d]", path, j), p, "a prefix not named before")
			prefixes[p] = true
		}
	}
}

func (f *fields) selectors(d Document) {
	selectors := d.Selectors
	f.check(len(selectors) <= MaxSelectors, "selectors", len(selectors), fmt.Sprintf("at most %d", MaxSelectors))
	f.check(len(selectors) > 0, "selectors", len(selectors), "at least one")
	names := map[string]bool{}
	for i, s := range selectors {
		path := fmt.Sprintf("selectors[%d]", i)
		f.check(seamlabel.ValidName(s.Name), path+".name", s.Name, "a name of letters, digits and inner - _ . /")
		f.check(!names[s.Name], path+".name", s.Name, "unique in the document")
		names[s.Name] = true
		f.check(s.Match.Prefix == "" || d.Keyed != nil, path+".match.prefix", s.Match.Prefix, "empty for a service without keys")
		f.selector(s, path)
	}
}

func (f *fields) selector(s Selector, path string) {
	if _, err := seamlabel.Parse(s.Targets); err != nil {
		f.add(path+".targets", s.Targets, "a label expression: "+err.Error())
	}
	f.check(s.Weight >= 0 && s.Weight <= MaxWeight, path+".weight", s.Weight, fmt.Sprintf("between 0 and %d", MaxWeight))
	f.check(s.Match.Path == "" || strings.HasPrefix(s.Match.Path, "/"), path+".match.path", s.Match.Path, "a path that begins with /")
	for i, m := range s.Match.Methods {
		f.check(slices.Contains(methods, m), path+".match.methods["+strconv.Itoa(i)+"]", m, "one of "+strings.Join(methods, ", "))
	}
	for i, r := range s.Match.Regions {
		f.check(r != "", path+".match.regions["+strconv.Itoa(i)+"]", r, "the name of a region")
	}
	if s.Limits != nil {
		f.limits(*s.Limits, path+".limits")
	}
}

func (f *fields) limits(l Limits, path string) {
	f.within(l.DeadlineMillis, MaxDeadlineMillis, path+".deadline")
	f.within(l.Retries, MaxRetries, path+".retries")
	f.within(l.QueueLength, MaxQueueLength, path+".queue")
}

func (f *fields) within(value, most int, path string) {
	f.check(value >= 0 && value <= most, path, value, fmt.Sprintf("between 0 and %d", most))
}

func (f *fields) place(p PlacementWeights) {
	f.weight(p.Imbalance, "place.imbalance")
	f.weight(p.Churn, "place.churn")
	f.weight(p.Unavailable, "place.unavailable")
}

func (f *fields) weight(w float64, path string) {
	f.check(w >= 0 && !math.IsInf(w, 0), path, w, "a number not below 0")
}

func (f *fields) labels(instances map[string]map[string]string) {
	for _, instance := range sortedKeys(instances) {
		f.check(instance != "", "labels", instance, "the name of an instance")
		for _, name := range sortedKeys(instances[instance]) {
			path := "labels." + instance + "." + name
			value := instances[instance][name]
			f.check(seamlabel.ValidName(name) && !slices.Contains(reserved, name), path, name, "the name of a label other than "+strings.Join(reserved, ", "))
			f.check(seamlabel.ValidValue(value), path, value, "the value of a label")
		}
	}
}
