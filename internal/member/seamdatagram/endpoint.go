// Package seamdatagram exchanges UDP datagrams between nodes. Each datagram contains
// its kind and, unless the payload identifies the sender, the sender's name and incarnation.
// The sender's full identity is sent only to nodes that do not know it yet.
package seamdatagram

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seampeer"
)

// Kind is the first byte of a datagram and selects its handler.
type Kind byte

// Kinds of datagrams.
const (
	// kindIdentityRequest asks the receiver to send its identity and preambles in full again.
	kindIdentityRequest Kind = iota
	// Cell carries heartbeats and other messages of cells.
	Cell
	// Confirm carries requests and responses about confirmed revisions of rules.
	Confirm
)

// anonymous holds the kinds whose payload identifies the sender, so that the
// header does not. Their handlers receive a zero peer.
var anonymous = map[Kind]bool{Cell: true}

const (
	// MaxPayload is the size in bytes of the largest payload that is sent in an unfragmented datagram.
	MaxPayload = 1200
	// headerBytes is the size of the IP and UDP headers, which the counters include.
	headerBytes = 28
	// readBuffer is the requested size of the socket's receive buffer in bytes.
	readBuffer = 1 << 20
)

// Handler receives the datagrams of one kind. It must not retain payload.
type Handler interface {
	ReceiveDatagram(from seampeer.Peer, payload []byte)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(from seampeer.Peer, payload []byte)

// ReceiveDatagram calls f.
func (f HandlerFunc) ReceiveDatagram(from seampeer.Peer, payload []byte) {
	f(from, payload)
}

// TooLargeError reports a payload larger than MaxPayload. Nothing was sent.
type TooLargeError struct {
	Size int
}

// Error gives the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("datagram payload of %d bytes exceeds the limit of %d", e.Size, MaxPayload)
}

// Endpoint is the UDP socket of a node.
type Endpoint struct {
	self       seampeer.Peer
	conn       *net.UDPConn
	identities *identityCache
	preambles  *preambleCache
	meter      meter

	mu       sync.RWMutex
	handlers map[Kind]Handler
}

// New opens the socket on listen (ip:port) and starts to receive. The clean-up
// function closes the socket and waits until the receive loop has ended.
func New(listen string, self seampeer.Peer, set *metrics.Set) (*Endpoint, func(), error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "resolve datagram address %s", listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open datagram socket")
	}
	_ = conn.SetReadBuffer(readBuffer) // best effort: a smaller buffer only drops more datagrams
	e := &Endpoint{
		self:       self,
		conn:       conn,
		identities: newIdentityCache(),
		preambles:  newPreambleCache(),
		meter:      newMeter(set),
		handlers:   map[Kind]Handler{},
	}
	var reader sync.WaitGroup
	reader.Go(e.read)
	cleanup := func() {
		conn.Close()
		reader.Wait()
	}
	return e, cleanup, nil
}

// Register sets the handler of a kind. It must be called before datagrams are exchanged.
func (e *Endpoint) Register(k Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[k] = h
}

// Address returns the address that the socket is bound to.
func (e *Endpoint) Address() string {
	return e.conn.LocalAddr().String()
}

// Send sends payload to the node. Datagrams can be lost without an error.
func (e *Endpoint) Send(k Kind, to seampeer.Peer, payload []byte) error {
	if len(payload) > MaxPayload {
		return &TooLargeError{Size: len(payload)}
	}
	address, err := e.identities.resolve(to.Address)
	if err != nil {
		return errors.Wrapf(err, "resolve address of %s", to)
	}
	return e.write(k, address, e.identities.needsIdentity(to.Address), payload)
}

// SendWithPreamble sends preamble and payload as one payload of an anonymous kind. If the preamble was
// sent to the node before, only its tag is sent.
func (e *Endpoint) SendWithPreamble(k Kind, to seampeer.Peer, preamble, payload []byte) error {
	if size := len(preamble) + len(payload); size > MaxPayload {
		return &TooLargeError{Size: size}
	}
	address, err := e.identities.resolve(to.Address)
	if err != nil {
		return errors.Wrapf(err, "resolve address of %s", to)
	}
	tag := tagOf(preamble)
	if e.preambles.needsFull(to.Address, tag, preamble) {
		return e.writeFrame(k, address, append(appendPreamble(nil, k, preamble), payload...))
	}
	return e.writeFrame(k, address, append(appendTag(nil, k, tag), payload...))
}

func (e *Endpoint) write(k Kind, to *net.UDPAddr, withIdentity bool, payload []byte) error {
	return e.writeFrame(k, to, append(appendHeader(nil, k, e.self, withIdentity), payload...))
}

func (e *Endpoint) writeFrame(k Kind, to *net.UDPAddr, frame []byte) error {
	if _, err := e.conn.WriteToUDP(frame, to); err != nil {
		return errors.Wrap(err, "send datagram")
	}
	e.meter.sent(k, len(frame))
	return nil
}

func (e *Endpoint) read() {
	buffer := make([]byte, 65536)
	for {
		n, source, err := e.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier send; the socket stays usable
		}
		e.receive(source, buffer[:n])
	}
}

func (e *Endpoint) receive(source *net.UDPAddr, frame []byte) {
	h, payload, err := parseHeader(frame)
	if err != nil {
		e.meter.malformed.Inc()
		return
	}
	e.meter.received(h.kind, len(frame))
	if h.hasIdentity {
		e.identities.add(h.from)
	}
	if h.kind == kindIdentityRequest {
		e.identities.resetIdentitySends(h.from.Address)
		e.preambles.resetSent(h.from.Address)
		return
	}
	payload, ok := e.expandPreamble(source, h, payload)
	if !ok {
		_ = e.write(kindIdentityRequest, source, true, nil)
		return
	}
	from, ok := e.identities.peer(h.from.Name, h.from.Incarnation)
	if !ok && !anonymous[h.kind] {
		// The sender is unknown. Drop the datagram and request the identity; the sender repeats its message.
		_ = e.write(kindIdentityRequest, source, true, nil)
		return
	}
	if handler := e.handler(h.kind); handler != nil {
		handler.ReceiveDatagram(from, payload)
	}
}

// expandPreamble returns the payload with its preamble prepended, and whether the preamble is known.
func (e *Endpoint) expandPreamble(source *net.UDPAddr, h header, payload []byte) ([]byte, bool) {
	preamble, ok := h.preamble, true
	switch {
	case h.tagged:
		preamble, ok = e.preambles.find(source.AddrPort(), h.tag)
	case len(preamble) > 0:
		e.preambles.add(source.AddrPort(), preamble)
	default:
		return payload, true
	}
	return slices.Concat(preamble, payload), ok
}

func (e *Endpoint) handler(k Kind) Handler {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.handlers[k]
}
