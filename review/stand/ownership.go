package stand

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxOverlap is the longest time for which two targets may hold the same key.
const maxOverlap = 500 * time.Millisecond

// Ownership checks the rule OWNER for the targets of one service.
type Ownership struct {
	record *Record

	mu      sync.Mutex
	targets []*Target
	// highest is the highest fencing token with which a target took each key, and holder that target.
	highest [keys]uint64
	holder  [keys]*Target
	// overlapping is the time since which two targets hold a key, and begun the targets that began a request on it since.
	overlapping [keys]time.Time
	begun       [keys]map[*Target]bool
	broken      map[string]int
	first       map[string]string
}

// NewOwnership returns a check without targets.
func NewOwnership(record *Record) *Ownership {
	o := &Ownership{record: record, broken: map[string]int{}, first: map[string]string{}}
	go o.watch()
	return o
}

func (o *Ownership) add(t *Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.targets = append(o.targets, t)
}

func (o *Ownership) remove(t *Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, x := range o.targets {
		if x == t {
			o.targets = append(o.targets[:i:i], o.targets[i+1:]...)
			return
		}
	}
}

// breach records that the rule was broken. mu must be held.
func (o *Ownership) breach(kind, format string, args ...any) {
	o.broken[kind]++
	if o.broken[kind] == 1 {
		o.first[kind] = fmt.Sprintf(format, args...)
	}
	if o.broken[kind] <= maxBreachLines {
		o.record.Add("OWNER broken: "+kind+": "+format, args...)
	}
}

// maxBreachLines bounds the lines of one kind of breach in the record.
const maxBreachLines = 20

// granted checks a grant that a target has accepted and that isn't a renewal. The mutex of the target is held.
func (o *Ownership) granted(t *Target, g order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reported := false
	for k := g.From; k <= g.To; k++ {
		switch {
		case o.holder[k] != nil && o.holder[k] != t && g.Fence <= o.highest[k]:
			if !reported {
				reported = true
				o.breach("token", "target %s took key %d with token %d, target %s had it with %d", t.ID, k, g.Fence, o.holder[k].ID, o.highest[k])
			}
		case g.Fence > o.highest[k]:
			o.highest[k], o.holder[k] = g.Fence, t
		}
	}
}

// began records the start of a request. The mutex of the target is held.
func (o *Ownership) began(t *Target, key uint32, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.overlapping[key].IsZero() {
		return
	}
	if o.begun[key] == nil {
		o.begun[key] = map[*Target]bool{}
	}
	o.begun[key][t] = true
	if len(o.begun[key]) > 1 {
		o.breach("both ran", "request %s began at target %s on key %d, which another one holds too and on which it began a request as well", id, t.ID, key)
	}
}

// sampleInterval is the time between two looks at who holds which key.
const sampleInterval = 25 * time.Millisecond

// watch looks for keys that two targets hold for longer than maxOverlap.
func (o *Ownership) watch() {
	var fences [keys]uint64
	holders := make([]uint8, keys)
	for range time.Tick(sampleInterval) {
		o.mu.Lock()
		targets := append([]*Target(nil), o.targets...)
		o.mu.Unlock()
		clear(holders)
		for _, t := range targets {
			t.holding(time.Now(), &fences)
			for k, f := range fences {
				if f != 0 {
					holders[k]++
				}
			}
		}
		o.mu.Lock()
		o.overlaps(time.Now(), holders)
		o.mu.Unlock()
	}
}

// overlaps updates the times since which keys have two holders. mu must be held.
func (o *Ownership) overlaps(now time.Time, holders []uint8) {
	reported := false
	for k, n := range holders {
		switch {
		case n < 2:
			o.overlapping[k], o.begun[k] = time.Time{}, nil
		case o.overlapping[k].IsZero():
			o.overlapping[k] = now
		case now.Sub(o.overlapping[k]) > maxOverlap && !reported:
			reported = true
			o.breach("two holders", "%d targets have held key %d for %v", n, k, now.Sub(o.overlapping[k]).Round(time.Millisecond))
		}
	}
}

// Covered returns the share of the keys that some target holds.
func (o *Ownership) Covered() float64 {
	o.mu.Lock()
	targets := append([]*Target(nil), o.targets...)
	o.mu.Unlock()
	var fences, held [keys]uint64
	for _, t := range targets {
		t.holding(time.Now(), &fences)
		for k, f := range fences {
			held[k] |= f
		}
	}
	n := 0
	for _, f := range held {
		if f != 0 {
			n++
		}
	}
	return float64(n) / keys
}

// Share returns the share of the keys that a target holds.
func (o *Ownership) Share(t *Target) float64 {
	var fences [keys]uint64
	t.holding(time.Now(), &fences)
	n := 0
	for _, f := range fences {
		if f != 0 {
			n++
		}
	}
	return float64(n) / keys
}

// Breach returns the first breach of each kind in one text, empty if the rule was kept.
func (o *Ownership) Breach() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var texts []string
	for _, kind := range slices.Sorted(maps.Keys(o.first)) {
		texts = append(texts, fmt.Sprintf("OWNER, %s, %d times, first: %s", kind, o.broken[kind], o.first[kind]))
	}
	return strings.Join(texts, "; ")
}
