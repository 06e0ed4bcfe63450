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
	// virtualNodes is the number of points of each server on the hash ring.
	virtualNodes = 100
	// loadBound is the maximum load of a server under consistent hashing with bounded loads, as a
	// multiple of the mean load.
	loadBound = 1.25
)

// newStaticHashing returns static hashing: a slot belongs to the server given by its hash modulo the
// number of servers, or to the next live server while that server is lost.
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

// point is a virtual node of a server on the hash ring.
type point struct {
	hash   uint64
	server string
}

// newBoundedLoad returns consistent hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam): a slot belongs to the first server on the ring after its hash whose load
// stays within the bound. Slots are placed in the order of their hashes, so that the
// placement depends only on the loads and the live servers.
func newBoundedLoad(servers int) planFunc {
	ring := newRing(servers)
	return func(_ seamclock.Instant, v seamplace.View) []seamplace.Move {
		p := newPlacement(ring, v)
		p.assignAll(sortedByHash(v.Slots))
		return movesTo(v.Slots, p.owner)
	}
}

// newStickyBoundedLoad returns consistent hashing with bounded loads that keeps owners: a slot stays
// with its server until that server exceeds the bound, and is only then placed by the ring.
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

// placement assigns slots to servers so that the load of each server stays within a bound.
type placement struct {
	ring []point
	live map[string]bool
	// bound is the maximum load of a server, and load the assigned load of each server, in requests
	// per second.
	bound float64
	load  map[string]float64
	// owners maps the index of a slot to its owner.
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

// fits reports whether server is live and stays within the bound with s. A server without load accepts
// any slot.
func (p *placement) fits(s seamplace.Slot, server string) bool {
	return p.live[server] && (p.load[server] == 0 || p.load[server]+s.Rate <= p.bound)
}

// keepOwners assigns slots to their current owners as far as the bound allows and returns the other slots.
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

// findServer returns the first server on the ring after the slot's hash that fits the slot, or the first
// live one if none does.
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

// sortedByHash returns a copy of the slots in the order of their hashes.
func sortedByHash(slots []seamplace.Slot) []seamplace.Slot {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b seamplace.Slot) int { return cmp.Compare(hash(a), hash(b)) })
	return sorted
}

func hash(s seamplace.Slot) uint64 {
	return xxhash.Sum64String(s.ID.String())
}

// movesTo returns the moves of the slots whose current owner differs from the one that owner returns.
func movesTo(slots []seamplace.Slot, owner func(seamplace.Slot) string) []seamplace.Move {
	var moves []seamplace.Move
	for _, s := range slots {
		if to := owner(s); to != s.Owner {
			moves = append(moves, seamplace.Move{Slot: s.ID, From: s.Owner, To: to})
		}
	}
	return moves
}
