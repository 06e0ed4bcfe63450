// Package seamusage measures the request rate of each key of one target and splits
// the target's ranges into chunks of about equal load.
package seamusage

import (
	"math"
	"slices"
	"sync"
	"time"

	"cardamomseam/internal/own/seamtable"
)

const (
	// decayTime is the time constant of the exponential decay of the counts.
	decayTime = time.Second
	// rebaseAge is the age of the origin at which the counts are rescaled, before they overflow.
	rebaseAge = 30 * time.Second
	// minRate is the rate, in requests per second, below which a key is no longer tracked.
	minRate = 0.01
	// minChunks and maxChunks are the least and the largest number of chunks into which the load is split.
	minChunks = 24
	maxChunks = 128
)

// Usage counts requests per key. It is safe for concurrent use.
type Usage struct {
	mu sync.Mutex
	// origin is the time at which a request has the weight 1; later requests weigh more.
	origin time.Time
	counts map[uint32]float64
}

// New returns an empty Usage.
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

// weight returns the weight of a request at the given time.
func (u *Usage) weight(now time.Time) float64 {
	return math.Exp(now.Sub(u.origin).Seconds() / decayTime.Seconds())
}

// rebase moves the origin to now once it is older than rebaseAge.
func (u *Usage) rebase(now time.Time) {
	if u.origin.IsZero() {
		u.origin = now
	}
	if now.Sub(u.origin) < rebaseAge {
		return
	}
	scale := 1 / u.weight(now)
	for key, n := range u.counts {
		if n*scale/decayTime.Seconds() < minRate {
			delete(u.counts, key)
			continue
		}
		u.counts[key] = n * scale
	}
	u.origin = now
}

// keyRate is the request rate of one key.
type keyRate struct {
	key  uint32
	rate float64
}

// Chunks splits the ranges into chunks and returns them with the rate of the requests for their keys. Each chunk receives
// at most about maxRate, and at most one minChunks-th of all requests. A key that alone receives that much shares its
// chunk only with keys that receive almost none. There are at most about maxChunks chunks more than ranges.
func (u *Usage) Chunks(now time.Time, ranges []seamtable.Range, maxRate float64) (chunks []seamtable.Chunk, rate float64) {
	rates := u.rates(now)
	for _, k := range rates {
		if slices.ContainsFunc(ranges, func(r seamtable.Range) bool { return r.Contains(k.key) }) {
			rate += k.rate
		}
	}
	chunkRate := max(min(maxRate, rate/minChunks), rate/maxChunks)
	for _, r := range ranges {
		chunks = append(chunks, splitByRate(r.Span, rates, chunkRate)...)
	}
	return chunks, rate
}

// rates returns the rates of the tracked keys, sorted by key.
func (u *Usage) rates(now time.Time) []keyRate {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rebase(now)
	scale := 1 / (u.weight(now) * decayTime.Seconds())
	rates := make([]keyRate, 0, len(u.counts))
	for key, n := range u.counts {
		if r := n * scale; r >= minRate {
			rates = append(rates, keyRate{key, r})
		}
	}
	slices.SortFunc(rates, func(a, b keyRate) int { return int(a.key) - int(b.key) })
	return rates
}

// splitByRate splits a span into chunks whose rates do not exceed maxRate, unless that of a single key does.
func splitByRate(s seamtable.Span, rates []keyRate, maxRate float64) []seamtable.Chunk {
	var chunks []seamtable.Chunk
	current := seamtable.Chunk{Span: seamtable.Span{From: s.From, To: s.To}}
	for _, k := range rates {
		if !s.Contains(k.key) {
			continue
		}
		if current.Rate > 0 && current.Rate+k.rate > maxRate && k.key > current.From {
			complete := current
			complete.To = k.key - 1
			chunks = append(chunks, complete)
			current.From, current.Rate = k.key, 0
		}
		current.Rate += k.rate
	}
	return append(chunks, current)
}
