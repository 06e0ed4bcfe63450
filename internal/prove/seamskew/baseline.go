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
func newStaticHashing(servers int) planFunc {
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		live := liveServers(v)
		owner := func(s seamplace.Slot) string {
			i := int(xxhash.Sum64String(s.ID.String()) % uint64(servers))
			for !live[serverName(i)] {
				i = (i + 1) % servers
			}
			return serverName(i)
		}
		return movesTo(v.Slots, owner)
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
func newBoundedLoad(servers int) planFunc {
	ring := newRing(servers)
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		p := newPlacement(ring, v)
		p.assignAll(sortedByHash(v.Slots))
		return movesTo(v.Slots, p.owner)
	}
}

// newSticky returns bounded loads with memory: a slot stays where it is until its server
// exceeds the bound, and only then walks the ring.
func newStickyBoundedLoad(servers int) planFunc {
	ring := newRing(servers)
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		p := newPlacement(ring, v)
		p.assignAll(p.keepOwners(sortedByHash(v.Slots)))
		return movesTo(v.Slots, p.owner)
	}
}

func newRing(servers int) []point {
	var ring []point
	for i := range servers {
		for n := range virtualNodes {
			name := serverName(i)
			ring = append(ring, point{hash: xxhash.Sum64String(name + "#" + strconv.Itoa(n)), server: name})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// placement is a placement of slots under bounded loads in the making.
type placement struct {
	ring  []point
	live  map[string]bool
	bound float64
	load  map[string]float64
	// owners holds the owner of each slot by its index.
	owners map[uint32]string
}

func newPlacement(ring []point, v seamplace.View) *placement {
	p := &placement{
		ring:   ring,
		live:   liveServers(v),
		load:   map[string]float64{},
		owners: map[uint32]string{},
	}
	total := 0.0
	for _, s := range v.Slots {
		total += s.Rate
	}
	p.bound = loadBound * total / float64(len(v.Members))
	return p
}

func liveServers(v seamplace.View) map[string]bool {
	live := map[string]bool{}
	for _, m := range v.Members {
		live[m.Name] = true
	}
	return live
}

func (p *placement) owner(s seamplace.Slot) string {
	return p.owners[s.ID.Index]
}

func (p *placement) assign(s seamplace.Slot, server string) {
	p.load[server] += s.Rate
	p.owners[s.ID.Index] = server
}

// room reports whether the server may take s. An empty server takes any slot.
func (p *placement) fits(s seamplace.Slot, server string) bool {
	return p.live[server] && (p.load[server] == 0 || p.load[server]+s.Rate <= p.bound)
}

// keep leaves slots with their owners as far as the bound allows, and returns the rest.
func (p *placement) keepOwners(slots []seamplace.Slot) []seamplace.Slot {
	var rest []seamplace.Slot
	for _, s := range slots {
		if !p.fits(s, s.Owner) {
			rest = append(rest, s)
			continue
		}
		p.assign(s, s.Owner)
	}
	return rest
}

func (p *placement) assignAll(slots []seamplace.Slot) {
	for _, s := range slots {
		p.assign(s, p.findServer(s))
	}
}

// walk returns the first live server after the slot's hash that has room, or else the
// first live one.
func (p *placement) findServer(s seamplace.Slot) string {
	start, _ := slices.BinarySearchFunc(p.ring, hash(s), func(x point, h uint64) int { return cmp.Compare(x.hash, h) })
	first := ""
	for i := range p.ring {
		server := p.ring[(start+i)%len(p.ring)].server
		if p.fits(s, server) {
			return server
		}
		if first == "" && p.live[server] {
			first = server
		}
	}
	return first
}

// byHash returns the slots in the order of their hashes.
func sortedByHash(slots []seamplace.Slot) []seamplace.Slot {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b seamplace.Slot) int { return cmp.Compare(hash(a), hash(b)) })
	return sorted
}

func hash(s seamplace.Slot) uint64 {
	return xxhash.Sum64String(s.ID.String())
}

// changes returns the moves to the owners that a policy wants.
func movesTo(slots []seamplace.Slot, owner func(seamplace.Slot) string) []seamplace.Move {
	var moves []seamplace.Move
	for _, s := range slots {
		if to := owner(s); to != s.Owner {
			moves = append(moves, seamplace.Move{Slot: s.ID, From: s.Owner, To: to})
		}
	}
	return moves
}
