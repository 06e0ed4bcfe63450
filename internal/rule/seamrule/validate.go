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

// Bounds on the values in documents.
const (
	// MaxSlots is the maximum number of slots of a service.
	MaxSlots = 1 << 16
	// MaxSelectors is the maximum number of selectors in a document.
	MaxSelectors = 256
	// MaxWeight is the maximum weight of a selector.
	MaxWeight = 1_000_000
	// MaxDeadlineMillis is the maximum deadline of a request, in milliseconds.
	MaxDeadlineMillis = 600_000
	// MaxRetries is the maximum number of further attempts for a request.
	MaxRetries = 10
	// MaxQueueLength is the maximum queue length at a target's node.
	MaxQueueLength = 10_000
	// maxServiceNameBytes is the maximum length of a service name.
	maxServiceNameBytes = 63
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

var reserved = []string{LabelInstance, LabelRegion, LabelDomain}

// Validate checks a document. The error is a FieldErrors that lists every invalid field.
func Validate(d Document) error {
	var f validator
	f.require(ValidService(d.Service), "service", d.Service, "a name of lower-case letters, digits and inner hyphens, at most 63 long")
	f.keyed(d.Keyed)
	f.selectors(d)
	f.limits(d.Limits, "limits")
	f.placement(d.Placement)
	f.labels(d.Labels)
	return f.err()
}

// ValidService reports whether name is a valid service name.
func ValidService(name string) bool {
	if name == "" || len(name) > maxServiceNameBytes || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ValidateChange checks that the next document of a service keeps the immutable fields of the old one:
// the service name, whether the service is keyed, its slots and its homes. The error is a FieldErrors.
func ValidateChange(old, next Document) error {
	var f validator
	f.require(old.Service == next.Service, "service", next.Service, "the service of the document that it replaces, "+old.Service)
	f.require((old.Keyed == nil) == (next.Keyed == nil), "keyed", next.Keyed != nil, "unchanged; a service can't change between keyed and not keyed")
	if old.Keyed != nil && next.Keyed != nil {
		f.require(old.Keyed.Slots == next.Keyed.Slots, "keyed.slots", next.Keyed.Slots, fmt.Sprintf("%d, which can't be changed", old.Keyed.Slots))
		f.require(slices.EqualFunc(old.Keyed.Homes, next.Keyed.Homes, sameHome), "keyed.homes", next.Keyed.Homes, "unchanged; homes can't be changed")
	}
	return f.err()
}

func sameHome(a, b Home) bool {
	return a.Region == b.Region && slices.Equal(a.Prefixes, b.Prefixes)
}

func (f *validator) keyed(k *Keyed) {
	if k == nil {
		return
	}
	_, ok := parseKeySource(k.KeySource)
	f.require(ok, "keyed.key", k.KeySource, "header:NAME, query:NAME or path:N with N from 1")
	f.require(k.Slots >= 1 && k.Slots <= MaxSlots, "keyed.slots", k.Slots, fmt.Sprintf("between 1 and %d", MaxSlots))
	f.require(len(k.Homes) <= int(k.Slots), "keyed.homes", len(k.Homes), "at most as many as slots")
	regions := map[string]bool{}
	prefixes := map[string]bool{}
	for i, h := range k.Homes {
		path := fmt.Sprintf("keyed.homes[%d]", i)
		f.require(h.Region != "" && !regions[h.Region], path+".region", h.Region, "a region not named before")
		regions[h.Region] = true
		for j, p := range h.Prefixes {
			f.require(p != "" && !prefixes[p], fmt.Sprintf("%s.prefixes[%d]", path, j), p, "a prefix not named before")
			prefixes[p] = true
		}
	}
}

func (f *validator) selectors(d Document) {
	selectors := d.Selectors
	f.require(len(selectors) <= MaxSelectors, "selectors", len(selectors), fmt.Sprintf("at most %d", MaxSelectors))
	f.require(len(selectors) > 0, "selectors", len(selectors), "at least one")
	names := map[string]bool{}
	for i, s := range selectors {
		path := fmt.Sprintf("selectors[%d]", i)
		f.require(seamlabel.ValidName(s.Name), path+".name", s.Name, "a name of letters, digits and inner - _ . /")
		f.require(!names[s.Name], path+".name", s.Name, "unique in the document")
		names[s.Name] = true
		f.require(s.Match.Prefix == "" || d.Keyed != nil, path+".match.prefix", s.Match.Prefix, "empty for a service without keys")
		f.selector(s, path)
	}
}

func (f *validator) selector(s Selector, path string) {
	if _, err := seamlabel.Parse(s.Targets); err != nil {
		f.add(path+".targets", s.Targets, "a label expression: "+err.Error())
	}
	f.require(s.Weight >= 0 && s.Weight <= MaxWeight, path+".weight", s.Weight, fmt.Sprintf("between 0 and %d", MaxWeight))
	f.require(s.Match.Path == "" || strings.HasPrefix(s.Match.Path, "/"), path+".match.path", s.Match.Path, "a path that begins with /")
	for i, m := range s.Match.Methods {
		f.require(slices.Contains(methods, m), path+".match.methods["+strconv.Itoa(i)+"]", m, "one of "+strings.Join(methods, ", "))
	}
	for i, r := range s.Match.Regions {
		f.require(r != "", path+".match.regions["+strconv.Itoa(i)+"]", r, "the name of a region")
	}
	if s.Limits != nil {
		f.limits(*s.Limits, path+".limits")
	}
}

func (f *validator) limits(l Limits, path string) {
	f.inRange(l.DeadlineMillis, MaxDeadlineMillis, path+".deadline")
	f.inRange(l.Retries, MaxRetries, path+".retries")
	f.inRange(l.QueueLength, MaxQueueLength, path+".queue")
}

func (f *validator) inRange(value, limit int, path string) {
	f.require(value >= 0 && value <= limit, path, value, fmt.Sprintf("between 0 and %d", limit))
}

func (f *validator) placement(p PlacementWeights) {
	f.weight(p.Imbalance, "place.imbalance")
	f.weight(p.Churn, "place.churn")
	f.weight(p.Unavailable, "place.unavailable")
}

func (f *validator) weight(w float64, path string) {
	f.require(w >= 0 && !math.IsInf(w, 0), path, w, "a number not below 0")
}

func (f *validator) labels(instances map[string]map[string]string) {
	for _, instance := range sortedKeys(instances) {
		f.require(instance != "", "labels", instance, "the name of an instance")
		for _, name := range sortedKeys(instances[instance]) {
			path := "labels." + instance + "." + name
			value := instances[instance][name]
			f.require(seamlabel.ValidName(name) && !slices.Contains(reserved, name), path, name, "the name of a label other than "+strings.Join(reserved, ", "))
			f.require(seamlabel.ValidValue(value), path, value, "the value of a label")
		}
	}
}
