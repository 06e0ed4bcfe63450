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

// MaxKey is the longest key, in bytes.
const MaxKeyBytes = 1024

// Program is a document prepared for decisions. It never changes.
type Program struct {
	document Document
	source   source
	homes    []homePrefix
	// selectors are in order of precedence.
	selectors []selector
}

// homePrefix maps the keys with a prefix to a band of slots.
type homePrefix struct {
	prefix   string
	from, to uint32
}

// selector is a Selector prepared for matching.
type selector struct {
	Selector
	rank    rank
	targets *seamlabel.Expression
	weight  float64
	limits  Limits
}

// rank says how specific a selector is. Larger goes first, field by field.
type rank struct {
	prefix, path, methods, regions int
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(o.prefix, r.prefix),
		cmp.Compare(o.path, r.path),
		cmp.Compare(o.methods, r.methods),
		cmp.Compare(o.regions, r.regions),
	)
}

// Compile checks a document and prepares it. The error is a FieldErrors.
func Compile(d Document) (*Program, error) {
	if err := Validate(d); err != nil {
		return nil, err
	}
	p := &Program{document: d}
	if d.Keyed != nil {
		p.source, _ = parseSource(d.Keyed.KeySource)
		p.homes = compileHomes(*d.Keyed)
	}
	for _, s := range d.Selectors {
		p.selectors = append(p.selectors, compileSelector(s, d.Limits))
	}
	slices.SortStableFunc(p.selectors, func(a, b selector) int { return a.rank.compare(b.rank) })
	return p, nil
}

func compileSelector(s Selector, common Limits) selector {
	targets, _ := seamlabel.Parse(s.Targets)
	return selector{
		Selector: s,
		rank: rank{
			prefix:  len(s.Match.Prefix),
			path:    len(s.Match.Path),
			methods: min(len(s.Match.Methods), 1),
			regions: min(len(s.Match.Regions), 1),
		},
		targets: &targets,
		weight:  float64(max(s.Weight, 1)),
		limits:  complete(s.Limits, common),
	}
}

// complete fills in limits that the selector leaves out.
func complete(own *Limits, common Limits) Limits {
	if own == nil {
		own = &common
	}
	return Limits{
		DeadlineMillis: cmp.Or(own.DeadlineMillis, common.DeadlineMillis, int(DefaultDeadline.Milliseconds())),
		Retries:        cmp.Or(own.Retries, common.Retries),
		QueueLength:    cmp.Or(own.QueueLength, common.QueueLength, DefaultQueueLength),
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

// Band returns the slots [from, to) of the home with the index.
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

// Decide returns the choice for the query, with a revision of 0.
// The error is an *UnmatchedError.
func (p *Program) Decide(q Query) (Decision, error) {
	if p.source != nil {
		q.Random = drawKey(q.Key)
	}
	s := p.choose(q)
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

// choose returns the selector of the highest rank that matches, by weight among equals.
func (p *Program) choose(q Query) *selector {
	first := 0
	for first < len(p.selectors) && !p.selectors[first].matches(q) {
		first++
	}
	if first == len(p.selectors) {
		return nil
	}
	end := first
	total := 0.0
	for end < len(p.selectors) && p.selectors[end].rank == p.selectors[first].rank {
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

// drawKey makes a draw that is the same for each request of one key.
func drawKey(key string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(key)>>(64-bits)) / (1 << bits)
}
