package seamkeeper

import (
	"sync"

	"cardamomseam/internal/member/seampeer"
)

// maxCachedOwners is the maximum number of cached owners. The cache is cleared when it is full.
const maxCachedOwners = 65536

// ownerCache caches owners of slots in other cells, as learned from responses.
type ownerCache struct {
	mu    sync.RWMutex
	peers map[slotID]seampeer.Peer
}

func newOwnerCache() *ownerCache {
	return &ownerCache{peers: map[slotID]seampeer.Peer{}}
}

func (c *ownerCache) get(id slotID) (seampeer.Peer, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	p, ok := c.peers[id]
	return p, ok
}

func (c *ownerCache) put(id slotID, p seampeer.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Address == "" {
		delete(c.peers, id)
		return
	}
	if len(c.peers) >= maxCachedOwners {
		clear(c.peers)
	}
	c.peers[id] = p
}

// Owner returns the presumed owner of the slot, from the table of this node's cell or from the owner cache. If
// neither knows the owner, it returns the coordinator of the cell that owns the slot.
func (k *Keeper) Owner(service string, slot uint32) (seampeer.Peer, bool) {
	id := slotID{Service: service, Index: slot}
	snap := k.snapshot.Load()
	if s, ok := snap.slots[id]; ok && !s.Owner.Zero() {
		return s.Owner, true
	}
	if p, ok := k.ownerCache.get(id); ok {
		return p, true
	}
	p := snap.coordinatorFor(id, k.self)
	return p, !p.Zero()
}

// Learn caches the owner of a slot. A peer without an address removes it from the cache.
func (k *Keeper) Learn(service string, slot uint32, owner seampeer.Peer) {
	k.ownerCache.put(slotID{Service: service, Index: slot}, owner)
}
