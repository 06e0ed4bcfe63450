package seamrule

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/rule/seamlabel"
)

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 1024

// Program is a compiled document that decides requests. It is immutable.
type Program struct {
	document Document
	source   keySource
	homes    []homePrefix
	// selectors are sorted from the most to the least specific.
	selectors []selector
}

// homePrefix maps the keys with a prefix to the slots [from, to).
type homePrefix struct {
	prefix   string
	from, to uint32
}

// selector is a compiled Selector.
type selector struct {
	Selector
	specificity specificity
	targets     *seamlabel.Expression
	weight      float64
	limits      Limits
}

// specificity orders selectors: fields are compared in order, and a larger value takes precedence.
type specificity struct {
	prefix, path, methods, regions int
}

func (r specificity) compare(o specificity) int {
	return cmp.Or(
		cmp.Compare(o.prefix, r.prefix),
		cmp.Compare(o.path, r.path),
		cmp.Compare(o.methods, r.methods),
		cmp.Compare(o.regions, r.regions),
	)
}

// Compile validates a document and compiles it. The error is a FieldErrors.
func Compile(d Document) (*Program, error) {
	if err := Validate(d); err != nil {
		return nil, err
	}
	p := &Program{document: d}
	if d.Keyed != nil {
		p.source, _ = parseKeySource(d.Keyed.KeySource)
		p.homes = compileHomes(*d.Keyed)
	}
	for _, s := range d.Selectors {
		p.selectors = append(p.selectors, compileSelector(s, d.Limits))
	}
	slices.SortStableFunc(p.selectors, func(a, b selector) int { return a.specificity.compare(b.specificity) })
	return p, nil
}

func compileSelector(s Selector, common Limits) selector {
	targets, _ := seamlabel.Parse(s.Targets)
	return selector{
		Selector: s,
		specificity: specificity{
			prefix:  len(s.Match.Prefix),
			path:    len(s.Match.Path),
			methods: min(len(s.Match.Methods), 1),
			regions: min(len(s.Match.Regions), 1),
		},
		targets: &targets,
		weight:  float64(max(s.Weight, 1)),
		limits:  withDefaults(s.Limits, common),
	}
}

// withDefaults returns a selector's limits, with unset ones taken from the document and the defaults.
func withDefaults(limits *Limits, common Limits) Limits {
	if limits == nil {
		limits = &common
	}
	return Limits{
		DeadlineMillis: cmp.Or(limits.DeadlineMillis, common.DeadlineMillis, int(DefaultDeadline.Milliseconds())),
		Retries:        cmp.Or(limits.Retries, common.Retries),
		QueueLength:    cmp.Or(limits.QueueLength, common.QueueLength, DefaultQueueLength),
	}
}

// compileHomes returns the prefixes of all homes, longest first.
func compileHomes(k Keyed) []homePrefix {
	var homes []homePrefix
	for i, h := range k.Homes {
		from, to := k.SlotRange(i)
		for _, p := range h.Prefixes {
			homes = append(homes, homePrefix{prefix: p, from: from, to: to})
		}
	}
	slices.SortStableFunc(homes, func(a, b homePrefix) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	return homes
}

// SlotRange returns the slots [from, to) of the home with the index.
func (k Keyed) SlotRange(home int) (from, to uint32) {
	count := uint64(len(k.Homes))
	from = uint32(uint64(k.Slots) * uint64(home) / count)
	to = uint32(uint64(k.Slots) * uint64(home+1) / count)
	return from, to
}

// Document returns the document that was compiled.
func (p *Program) Document() Document {
	return p.document
}

// Key returns the key of the request, empty for a service without keys.
// The error is a *KeyError.
func (p *Program) Key(r *http.Request) (string, error) {
	if p.source == nil {
		return "", nil
	}
	key, ok := p.source.key(r)
	if !ok || len(key) > MaxKeyBytes {
		return "", &KeyError{Service: p.document.Service, KeySource: p.document.Keyed.KeySource}
	}
	return key, nil
}

// Slot returns the slot of the key. The service must be keyed.
func (p *Program) Slot(key string) uint32 {
	for _, h := range p.homes {
		if strings.HasPrefix(key, h.prefix) {
			return seamslot.Hash(key, h.from, h.to)
		}
	}
	return seamslot.Hash(key, 0, p.document.Keyed.Slots)
}

// Decide returns the decision for the query. Its Revision is 0.
// The error is an *UnmatchedError.
func (p *Program) Decide(q Query) (Decision, error) {
	if p.source != nil {
		q.Random = keyFraction(q.Key)
	}
	s := p.selectorFor(q)
	if s == nil {
		return Decision{}, &UnmatchedError{Service: p.document.Service}
	}
	c := Decision{Selector: s.Name, Targets: s.targets, Limits: s.limits}
	if p.source != nil {
		c.Keyed = true
		c.Slot = p.Slot(q.Key)
		c.Key = q.Key
	}
	return c, nil
}

// selectorFor returns the most specific selector that matches. Among equally specific ones it selects
// by weight.
func (p *Program) selectorFor(q Query) *selector {
	first := 0
	for first < len(p.selectors) && !p.selectors[first].matches(q) {
		first++
	}
	if first == len(p.selectors) {
		return nil
	}
	end := first
	total := 0.0
	for end < len(p.selectors) && p.selectors[end].specificity == p.selectors[first].specificity {
		if p.selectors[end].matches(q) {
			total += p.selectors[end].weight
		}
		end++
	}
	chosen := &p.selectors[first]
	left := q.Random * total
	for i := first; i < end; i++ {
		if !p.selectors[i].matches(q) {
			continue
		}
		chosen = &p.selectors[i]
		if left -= chosen.weight; left < 0 {
			break
		}
	}
	return chosen
}

func (s *selector) matches(q Query) bool {
	m := &s.Match
	return strings.HasPrefix(q.Key, m.Prefix) &&
		strings.HasPrefix(q.Path, m.Path) &&
		(len(m.Methods) == 0 || slices.Contains(m.Methods, q.Method)) &&
		(len(m.Regions) == 0 || slices.Contains(m.Regions, q.Region))
}

// keyFraction maps a key to a number in [0, 1), so that all requests for a key use the same selector.
func keyFraction(key string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(key)>>(64-bits)) / (1 << bits)
}
