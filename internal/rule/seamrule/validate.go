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
	// MaxDeadlineMillis is the maximum duration of a request, in milliseconds.
	MaxDeadlineMillis = 600_000
	// MaxRetries is the maximum number of retries of a request.
	MaxRetries = 10
	// MaxQueueLength is the maximum number of requests that may wait at a target's node.
	MaxQueueLength = 10_000
	// maxServiceNameBytes is the maximum length of a service name.
	maxServiceNameBytes = 63
)

// httpMethods are the methods that a selector can match.
var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// reservedLabels are the labels that the system sets; documents can't set them.
var reservedLabels = []string{LabelInstance, LabelRegion, LabelDomain}

// Validate checks a document. The error is a FieldErrors that lists every invalid field.
func Validate(d Document) error {
	var f validator
	f.require(ValidService(d.Service), "service", d.Service, "a name of at most 63 lower-case letters, digits and hyphens that begins and ends with a letter or digit")
	f.checkKeyed(d.Keyed)
	f.checkSelectors(d)
	f.checkLimits(d.Limits, "limits")
	f.checkPlacement(d.Placement)
	f.checkLabels(d.Labels)
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
// the service name, whether the service is keyed, its number of slots and its homes. The error is a
// FieldErrors.
func ValidateChange(old, next Document) error {
	var f validator
	f.require(old.Service == next.Service, "service", next.Service, "unchanged; the service name can't be changed from "+old.Service)
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

func (v *validator) checkKeyed(k *Keyed) {
	if k == nil {
		return
	}
	_, ok := parseKeySource(k.KeySource)
	v.require(ok, "keyed.key", k.KeySource, "header:NAME, query:NAME or path:N with N from 1")
	v.require(k.Slots >= 1 && k.Slots <= MaxSlots, "keyed.slots", k.Slots, fmt.Sprintf("between 1 and %d", MaxSlots))
	v.require(len(k.Homes) <= int(k.Slots), "keyed.homes", len(k.Homes), "at most the number of slots")
	regions := map[string]bool{}
	prefixes := map[string]bool{}
	for i, h := range k.Homes {
		path := fmt.Sprintf("keyed.homes[%d]", i)
		v.require(h.Region != "" && !regions[h.Region], path+".region", h.Region, "a non-empty region that is not listed twice")
		regions[h.Region] = true
		for j, p := range h.Prefixes {
			v.require(p != "" && !prefixes[p], fmt.Sprintf("%s.prefixes[%d]", path, j), p, "a non-empty prefix that is not listed twice")
			prefixes[p] = true
		}
	}
}

func (v *validator) checkSelectors(d Document) {
	selectors := d.Selectors
	v.require(len(selectors) <= MaxSelectors, "selectors", len(selectors), fmt.Sprintf("at most %d", MaxSelectors))
	v.require(len(selectors) > 0, "selectors", len(selectors), "at least one")
	names := map[string]bool{}
	for i, s := range selectors {
		path := fmt.Sprintf("selectors[%d]", i)
		v.require(seamlabel.ValidName(s.Name), path+".name", s.Name, "a name of letters, digits and - _ . / that begins and ends with a letter or digit")
		v.require(!names[s.Name], path+".name", s.Name, "unique in the document")
		names[s.Name] = true
		v.require(s.Match.Prefix == "" || d.Keyed != nil, path+".match.prefix", s.Match.Prefix, "empty for a service without keys")
		v.checkSelector(s, path)
	}
}

func (v *validator) checkSelector(s Selector, path string) {
	if _, err := seamlabel.Parse(s.Targets); err != nil {
		v.add(path+".targets", s.Targets, "a label expression: "+err.Error())
	}
	v.require(s.Weight >= 0 && s.Weight <= MaxWeight, path+".weight", s.Weight, fmt.Sprintf("between 0 and %d", MaxWeight))
	v.require(s.Match.Path == "" || strings.HasPrefix(s.Match.Path, "/"), path+".match.path", s.Match.Path, "a path that begins with /")
	for i, m := range s.Match.Methods {
		v.require(slices.Contains(httpMethods, m), path+".match.methods["+strconv.Itoa(i)+"]", m, "one of "+strings.Join(httpMethods, ", "))
	}
	for i, r := range s.Match.Regions {
		v.require(r != "", path+".match.regions["+strconv.Itoa(i)+"]", r, "the name of a region")
	}
	if s.Limits != nil {
		v.checkLimits(*s.Limits, path+".limits")
	}
}

func (v *validator) checkLimits(l Limits, path string) {
	v.checkRange(l.DeadlineMillis, MaxDeadlineMillis, path+".deadline")
	v.checkRange(l.Retries, MaxRetries, path+".retries")
	v.checkRange(l.QueueLength, MaxQueueLength, path+".queue")
}

func (v *validator) checkRange(value, limit int, path string) {
	v.require(value >= 0 && value <= limit, path, value, fmt.Sprintf("between 0 and %d", limit))
}

func (v *validator) checkPlacement(p PlacementWeights) {
	v.checkWeight(p.Imbalance, "place.imbalance")
	v.checkWeight(p.Churn, "place.churn")
	v.checkWeight(p.Unavailable, "place.unavailable")
}

func (v *validator) checkWeight(w float64, path string) {
	v.require(w >= 0 && !math.IsInf(w, 0), path, w, "a finite number of at least 0")
}

func (v *validator) checkLabels(instances map[string]map[string]string) {
	for _, instance := range sortedKeys(instances) {
		v.require(instance != "", "labels", instance, "the name of an instance")
		for _, name := range sortedKeys(instances[instance]) {
			path := "labels." + instance + "." + name
			value := instances[instance][name]
			v.require(seamlabel.ValidName(name) && !slices.Contains(reservedLabels, name), path, name, "a valid label name other than "+strings.Join(reservedLabels, ", "))
			v.require(seamlabel.ValidValue(value), path, value, "a valid label value")
		}
	}
}
