package seamkeeper

import (
	"sync"

	"cardamomseam/internal/member/seampeer"
)

// hintLimit is the number of owners remembered; when it is passed all are forgotten.
const maxCachedOwners = 65536

// hints are owners of slots in other cells, learned from answers.
type ownerCache struct {
	mu    sync.RWMutex
	peers map[slotID]seampeer.Peer
}

func newOwnerCache() *ownerCache {
	return &ownerCache{peers: map[slotID]seampeer.Peer{}}
}

func (h *ownerCache) get(id slotID) (seampeer.Peer, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	p, ok := h.peers[id]
	return p, ok
}

func (h *ownerCache) put(id slotID, p seampeer.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Address == "" {
		delete(h.peers, id)
		return
	}
	if len(h.peers) >= maxCachedOwners {
		clear(h.peers)
	}
	h.peers[id] = p
}

// Owner returns the node believed to own the slot: from the own cell's table,
// from what was learned, or the coordinator of the cell that owns the slot.
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

// Learn remembers the owner of a slot; a peer without an address forgets it.
func (k *Keeper) Learn(service string, slot uint32, owner seampeer.Peer) {
	k.ownerCache.put(slotID{Service: service, Index: slot}, owner)
}
