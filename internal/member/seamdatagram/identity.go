package seamdatagram

import (
	"net"
	"sync"

	"cardamomseam/internal/member/seampeer"
)

const (
	// maxFullSends is the number of first datagrams to an address that contain the full identity or preamble.
	maxFullSends = 3
	// maxCacheEntries limits the size of each cache. A full cache is cleared.
	maxCacheEntries = 8192
)

// senderID identifies an incarnation of a node.
type senderID struct {
	name        string
	incarnation uint64
}

// identityCache holds the identities of senders, the number of times that each address was sent the own
// identity, and resolved addresses.
type identityCache struct {
	mu            sync.Mutex
	peers         map[senderID]seampeer.Peer
	identitySends map[string]int
	addresses     map[string]*net.UDPAddr
}

func newIdentityCache() *identityCache {
	return &identityCache{
		peers:         map[senderID]seampeer.Peer{},
		identitySends: map[string]int{},
		addresses:     map[string]*net.UDPAddr{},
	}
}

func (b *identityCache) add(p seampeer.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.peers) >= maxCacheEntries {
		clear(b.peers)
	}
	b.peers[senderID{p.Name, p.Incarnation}] = p
}

func (b *identityCache) peer(name string, incarnation uint64) (seampeer.Peer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[senderID{name, incarnation}]
	return p, ok
}

func (b *identityCache) resolve(address string) (*net.UDPAddr, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.addresses[address]; ok {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if len(b.addresses) >= maxCacheEntries {
		clear(b.addresses)
		clear(b.identitySends)
	}
	b.addresses[address] = a
	return a, nil
}

func (b *identityCache) needsIdentity(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.identitySends[address] >= maxFullSends {
		return false
	}
	b.identitySends[address]++
	return true
}

func (b *identityCache) resetIdentitySends(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.identitySends, address)
}
