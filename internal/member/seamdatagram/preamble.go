package seamdatagram

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"sync"
)

// A preamble is the start of a payload that is the same in many datagrams between two nodes. The first
// maxFullSends datagrams contain it in full, later ones only its tag. The receiver caches it by tag and source
// address. If it does not know a tag, it sends an identity request, and the sender sends full preambles again.
const (
	// preambleBit is set in the kind byte of a datagram that continues with a full preamble.
	preambleBit = 0x40
	// tagBit is set in the kind byte of a datagram that continues with the tag of a preamble.
	tagBit = 0x20
	// tagBytes is the size of a tag in bytes.
	tagBytes = 4
)

// tagOf returns the tag of a preamble, its FNV-1a hash.
func tagOf(preamble []byte) uint32 {
	h := fnv.New32a()
	h.Write(preamble)
	return h.Sum32()
}

// sentKey identifies a preamble that was sent to an address.
type sentKey struct {
	address string
	tag     uint32
}

// sentPreamble is a preamble and the number of datagrams that contained it in full.
type sentPreamble struct {
	preamble  []byte
	fullSends int
}

// receivedKey identifies a preamble that was received from an address.
type receivedKey struct {
	source netip.AddrPort
	tag    uint32
}

// preambleCache holds the preambles sent to other nodes and those received from them.
type preambleCache struct {
	mu       sync.Mutex
	sent     map[sentKey]*sentPreamble
	received map[receivedKey][]byte
}

func newPreambleCache() *preambleCache {
	return &preambleCache{sent: map[sentKey]*sentPreamble{}, received: map[receivedKey][]byte{}}
}

// needsFull reports whether the next datagram to the address must contain the full preamble. It counts these
// datagrams, so it must be called once for each datagram.
func (p *preambleCache) needsFull(address string, tag uint32, preamble []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := sentKey{address, tag}
	s := p.sent[key]
	if s == nil {
		if len(p.sent) >= maxCacheEntries {
			clear(p.sent)
		}
		s = &sentPreamble{preamble: bytes.Clone(preamble)}
		p.sent[key] = s
	}
	if !bytes.Equal(s.preamble, preamble) {
		return true // hash collision: another preamble has the same tag
	}
	if s.fullSends >= maxFullSends {
		return false
	}
	s.fullSends++
	return true
}

// resetSent makes the next datagrams to the address contain full preambles again.
func (p *preambleCache) resetSent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.sent {
		if key.address == address {
			delete(p.sent, key)
		}
	}
}

// add caches a preamble received from the address.
func (p *preambleCache) add(source netip.AddrPort, preamble []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := receivedKey{source, tagOf(preamble)}
	if known, ok := p.received[key]; ok && bytes.Equal(known, preamble) {
		return
	}
	if len(p.received) >= maxCacheEntries {
		clear(p.received)
	}
	p.received[key] = bytes.Clone(preamble)
}

// find returns the preamble with the tag that was received from the address, if it is cached.
func (p *preambleCache) find(source netip.AddrPort, tag uint32) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	preamble, ok := p.received[receivedKey{source, tag}]
	return preamble, ok
}

func appendPreamble(b []byte, k Kind, preamble []byte) []byte {
	b = append(b, byte(k)|preambleBit)
	b = binary.AppendUvarint(b, uint64(len(preamble)))
	return append(b, preamble...)
}

func appendTag(b []byte, k Kind, tag uint32) []byte {
	b = append(b, byte(k)|tagBit)
	return binary.BigEndian.AppendUint32(b, tag)
}
