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

func (c *identityCache) add(p seampeer.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers) >= maxCacheEntries {
		clear(c.peers)
	}
	c.peers[senderID{p.Name, p.Incarnation}] = p
}

func (c *identityCache) peer(name string, incarnation uint64) (seampeer.Peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[senderID{name, incarnation}]
	return p, ok
}

func (c *identityCache) resolve(address string) (*net.UDPAddr, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.addresses[address]; ok {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if len(c.addresses) >= maxCacheEntries {
		clear(c.addresses)
		clear(c.identitySends)
	}
	c.addresses[address] = a
	return a, nil
}

func (c *identityCache) needsIdentity(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.identitySends[address] >= maxFullSends {
		return false
	}
	c.identitySends[address]++
	return true
}

func (c *identityCache) resetIdentitySends(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.identitySends, address)
}
