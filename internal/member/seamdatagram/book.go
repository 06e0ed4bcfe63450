package seamdatagram

import (
	"net"
	"sync"

	"cardamomseam/internal/member/seampeer"
)

const (
	// introductions is the number of first datagrams to an address that hold the full identity.
	introductions = 3
	// bookLimit is the number of peers remembered; when it is passed the book starts anew.
	bookLimit = 8192
)

// run is one run of one instance.
type run struct {
	name        string
	incarnation uint64
}

// book remembers identities of senders, and which addresses know ours.
type book struct {
	mu         sync.Mutex
	peers      map[run]seampeer.Peer
	introduced map[string]int
	addresses  map[string]*net.UDPAddr
}

func newBook() *book {
	return &book{
		peers:      map[run]seampeer.Peer{},
		introduced: map[string]int{},
		addresses:  map[string]*net.UDPAddr{},
	}
}

func (b *book) learn(p seampeer.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.peers) >= bookLimit {
		clear(b.peers)
	}
	b.peers[run{p.Name, p.Incarnation}] = p
}

func (b *book) peer(name string, incarnation uint64) (seampeer.Peer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[run{name, incarnation}]
	return p, ok
}

func (b *book) resolve(address string) (*net.UDPAddr, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.addresses[address]; ok {
		return a, nil
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if len(b.addresses) >= bookLimit {
		clear(b.addresses)
		clear(b.introduced)
	}
	b.addresses[address] = a
	return a, nil
}

func (b *book) mustIntroduce(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.introduced[address] >= introductions {
		return false
	}
	b.introduced[address]++
	return true
}

func (b *book) forgetIntroduction(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.introduced, address)
}
