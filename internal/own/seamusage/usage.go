// Package seamusage counts the use of the keys of one target and cuts its
// ranges into chunks of about the same load.
package seamusage

import (
	"math"
	"slices"
	"sync"
	"time"

	"cardamomseam/internal/own/seamtable"
)

const (
	// window is the time constant with which counts decay.
	window = time.Second
	// rebaseAge is the age of the origin from which counts are scaled anew, before they overflow.
	rebaseAge = 30 * time.Second
	// forget is the rate, in requests a second, below which a key is forgotten.
	forget = 0.01
)

// Usage counts requests by key. It is safe for concurrent use.
type Usage struct {
	mu sync.Mutex
	// origin is the time at which a request has the weight 1; later ones have more.
	origin time.Time
	counts map[uint32]float64
}

// New returns a usage without counts.
func New() *Usage {
	return &Usage{counts: map[uint32]float64{}}
}

// Count counts one request for the key.
func (u *Usage) Count(now time.Time, key uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rebase(now)
	u.counts[key] += u.weight(now)
}

// weight is that of a request at the time.
func (u *Usage) weight(now time.Time) float64 {
	return math.Exp(now.Sub(u.origin).Seconds() / window.Seconds())
}

// rebase moves the origin to the present once it is old.
func (u *Usage) rebase(now time.Time) {
	if u.origin.IsZero() {
		u.origin = now
	}
	if now.Sub(u.origin) < rebaseAge {
		return
	}
	scale := 1 / u.weight(now)
	for key, n := range u.counts {
		if n*scale/window.Seconds() < forget {
			delete(u.counts, key)
			continue
		}
		u.counts[key] = n * scale
	}
	u.origin = now
}

// keyRate is the use of one key.
type keyRate struct {
	key  uint32
	rate float64
}

// Chunks cuts the ranges into at most about n chunks, and returns them with the rate of all
// requests. A key that draws as much as a chunk is a chunk of its own.
func (u *Usage) Chunks(now time.Time, ranges []seamtable.Range, n int) (chunks []seamtable.Chunk, rate float64) {
	rates := u.rates(now)
	total := 0.0
	for _, k := range rates {
		total += k.rate
	}
	for _, r := range ranges {
		chunks = append(chunks, cut(r.Span, rates, total/float64(max(n, 1)))...)
	}
	return chunks, total
}

// rates returns the keys in use in their order.
func (u *Usage) rates(now time.Time) []keyRate {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rebase(now)
	scale := 1 / (u.weight(now) * window.Seconds())
	rates := make([]keyRate, 0, len(u.counts))
	for key, n := range u.counts {
		if r := n * scale; r >= forget {
			rates = append(rates, keyRate{key, r})
		}
	}
	slices.SortFunc(rates, func(a, b keyRate) int { return int(a.key) - int(b.key) })
	return rates
}

// cut splits one span where the load of a chunk reaches the share.
func cut(s seamtable.Span, rates []keyRate, share float64) []seamtable.Chunk {
	var chunks []seamtable.Chunk
	open := seamtable.Chunk{Span: seamtable.Span{From: s.From, To: s.To}}
	for _, k := range rates {
		if !s.Contains(k.key) {
			continue
		}
		if open.Rate > 0 && open.Rate+k.rate > share && k.key > open.From {
			done := open
			done.To = k.key - 1
			chunks = append(chunks, done)
			open.From, open.Rate = k.key, 0
		}
		open.Rate += k.rate
	}
	return append(chunks, open)
}
