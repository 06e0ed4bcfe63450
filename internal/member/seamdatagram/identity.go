package seamdatagram

import (
	"net"
	"sync"

	"cardamomseam/internal/member/seampeer"
)

const (
	// introductions is the number of first datagrams to an address that hold the full identity.
	maxFullSends = 3
	// bookLimit is the number of peers remembered; when it is passed the book starts anew.
	maxCacheEntries = 8192
)

// run is one run of one instance.
type senderID struct {
	name        string
	incarnation uint64
}

// book remembers identities of senders, and which addresses know ours.
type identityCache struct {
	mu         sync.Mutex
	peers      map[senderID]seampeer.Peer
	introduced map[string]int
	addresses  map[string]*net.UDPAddr
}

func newIdentityCache() *identityCache {
	return &identityCache{
		peers:      map[senderID]seampeer.Peer{},
		introduced: map[string]int{},
		addresses:  map[string]*net.UDPAddr{},
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
		clear(b.introduced)
	}
	b.addresses[address] = a
	return a, nil
}

func (b *identityCache) needsIdentity(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.introduced[address] >= maxFullSends {
		return false
	}
	b.introduced[address]++
	return true
}

func (b *identityCache) resetIntroduction(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.introduced, address)
}
