package seamskew

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
)

const (
	// virtualNodes is the number of points of each server on the ring.
	virtualNodes = 100
	// loadBound is the largest load of a server under bounded loads, as a multiple of the mean.
	loadBound = 1.25
)

// newStatic returns static hashing: a slot belongs to the server that its hash names, or
// while that one is away to the next in the list.
func newStatic(servers int) decide {
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		live := map[string]bool{}
		for _, m := range v.Members {
			live[m.Name] = true
		}
		owner := func(s seamplace.Slot) string {
			i := int(xxhash.Sum64String(s.ID.String()) % uint64(servers))
			for !live[server(i)] {
				i = (i + 1) % servers
			}
			return server(i)
		}
		return changes(v.Slots, owner)
	}
}

// point is a place of a server on the ring.
type point struct {
	hash   uint64
	server string
}

// newBounded returns consistent hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam): a slot belongs to the first server on the ring after its hash whose load
// stays within the bound. Slots are placed in the order of their hashes, so that the
// placement depends on loads and servers only.
func newBounded(servers int) decide {
	ring := newRing(servers)
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		placed := place(ring, v)
		return changes(v.Slots, func(s seamplace.Slot) string { return placed[s.ID.Index] })
	}
}

func newRing(servers int) []point {
	var ring []point
	for i := range servers {
		for n := range virtualNodes {
			name := server(i)
			ring = append(ring, point{hash: xxhash.Sum64String(name + "#" + strconv.Itoa(n)), server: name})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// place returns the owner of each slot by its index.
func place(ring []point, v seamplace.View) map[uint32]string {
	live := map[string]bool{}
	for _, m := range v.Members {
		live[m.Name] = true
	}
	total := 0.0
	for _, s := range v.Slots {
		total += s.Rate
	}
	bound := loadBound * total / float64(len(v.Members))
	load := map[string]float64{}
	placed := map[uint32]string{}
	for _, s := range byHash(v.Slots) {
		to := walk(ring, s, live, load, bound)
		load[to] += s.Rate
		placed[s.ID.Index] = to
	}
	return placed
}

// byHash returns the slots in the order of their hashes.
func byHash(slots []seamplace.Slot) []seamplace.Slot {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b seamplace.Slot) int { return cmp.Compare(hash(a), hash(b)) })
	return sorted
}

func hash(s seamplace.Slot) uint64 {
	return xxhash.Sum64String(s.ID.String())
}

// walk returns the first live server after the slot's hash that has room. A slot too
// large for any bound goes to an empty server, or to the first live one.
func walk(ring []point, s seamplace.Slot, live map[string]bool, load map[string]float64, bound float64) string {
	start, _ := slices.BinarySearchFunc(ring, hash(s), func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	first := ""
	for i := range ring {
		p := ring[(start+i)%len(ring)]
		if !live[p.server] {
			continue
		}
		if first == "" {
			first = p.server
		}
		if load[p.server] == 0 || load[p.server]+s.Rate <= bound {
			return p.server
		}
	}
	return first
}

// changes returns the moves to the owners that a policy wants.
func changes(slots []seamplace.Slot, owner func(seamplace.Slot) string) []seamplace.Move {
	var moves []seamplace.Move
	for _, s := range slots {
		if to := owner(s); to != s.Owner {
			moves = append(moves, seamplace.Move{Slot: s.ID, From: s.Owner, To: to})
		}
	}
	return moves
}
