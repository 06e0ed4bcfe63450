// Package seamdatagram exchanges datagrams between nodes. Each datagram names
// its kind and the sending node; the sender's full identity is sent only to a
// node that does not know it yet.
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
	// kindWho asks the receiver to introduce itself.
	kindWho Kind = iota
	// Cell carries heartbeats and other messages of cells.
	Cell
	// Confirm carries questions and answers about confirmed revisions of rules.
	Confirm
)

// anonymous holds the kinds whose payload names the sender itself, so that the
// header need not; their handlers get a zero peer.
var anonymous = map[Kind]bool{Cell: true}

const (
	// MaxPayload is the largest payload in bytes that fits an unfragmented datagram.
	MaxPayload = 1200
	// headerBytes is the size of the IP and UDP headers that the counters include.
	headerBytes = 28
	// readBuffer is the size of the socket's receive buffer in bytes.
	readBuffer = 1 << 20
)

// Handler takes the datagrams of one kind. It must not keep payload.
type Handler interface {
	ReceiveDatagram(from seampeer.Peer, payload []byte)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(from seampeer.Peer, payload []byte)

// ReceiveDatagram calls f.
func (f HandlerFunc) ReceiveDatagram(from seampeer.Peer, payload []byte) {
	f(from, payload)
}

// TooLargeError says that a payload does not fit a datagram. Nothing was sent.
type TooLargeError struct {
	Size int
}

// Error names the size and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("datagram payload of %d bytes is over %d", e.Size, MaxPayload)
}

// Endpoint is the UDP socket of a node.
type Endpoint struct {
	self      seampeer.Peer
	conn      *net.UDPConn
	known     *book
	preambles *preambles
	meter     meter

	mu       sync.RWMutex
	handlers map[Kind]Handler
}

// New opens the socket on listen (ip:port) and starts to read it. The clean-up
// function closes the socket and waits for the reader.
func New(listen string, self seampeer.Peer, set *metrics.Set) (*Endpoint, func(), error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "datagram address %s", listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open datagram socket")
	}
	_ = conn.SetReadBuffer(readBuffer) // a smaller buffer only loses more datagrams
	e := &Endpoint{
		self:      self,
		conn:      conn,
		known:     newBook(),
		preambles: newPreambles(),
		meter:     newMeter(set),
		handlers:  map[Kind]Handler{},
	}
	var reader sync.WaitGroup
	reader.Go(e.read)
	cleanup := func() {
		conn.Close()
		reader.Wait()
	}
	return e, cleanup, nil
}

// Register sets the handler of a kind. It is called before traffic starts.
func (e *Endpoint) Register(k Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[k] = h
}

// Address returns the address that the socket is bound to.
func (e *Endpoint) Address() string {
	return e.conn.LocalAddr().String()
}

// Send sends payload to the node. A datagram may be lost without an error.
func (e *Endpoint) Send(k Kind, to seampeer.Peer, payload []byte) error {
	if len(payload) > MaxPayload {
		return &TooLargeError{Size: len(payload)}
	}
	address, err := e.known.resolve(to.Address)
	if err != nil {
		return errors.Wrapf(err, "address of %s", to)
	}
	return e.write(k, address, e.known.mustIntroduce(to.Address), payload)
}

// SendAfter sends preamble and payload as one payload of an anonymous kind. A preamble that the
// node has been sent before is not sent again, only its tag.
func (e *Endpoint) SendWithPreamble(k Kind, to seampeer.Peer, preamble, payload []byte) error {
	if size := len(preamble) + len(payload); size > MaxPayload {
		return &TooLargeError{Size: size}
	}
	address, err := e.known.resolve(to.Address)
	if err != nil {
		return errors.Wrapf(err, "address of %s", to)
	}
	tag := tagOf(preamble)
	if e.preambles.mustHold(to.Address, tag, preamble) {
		return e.writeFrame(k, address, append(appendPreamble(nil, k, preamble), payload...))
	}
	return e.writeFrame(k, address, append(appendTag(nil, k, tag), payload...))
}

func (e *Endpoint) write(k Kind, to *net.UDPAddr, introduce bool, payload []byte) error {
	return e.writeFrame(k, to, append(appendHeader(nil, k, e.self, introduce), payload...))
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
			continue // an ICMP error of an earlier send; the socket stays usable
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
	if h.introduced {
		e.known.learn(h.from)
	}
	if h.kind == kindWho {
		e.known.forgetIntroduction(h.from.Address)
		e.preambles.forget(h.from.Address)
		return
	}
	payload, ok := e.whole(source, h, payload)
	if !ok {
		_ = e.write(kindWho, source, true, nil)
		return
	}
	from, ok := e.known.peer(h.from.Name, h.from.Incarnation)
	if !ok && !anonymous[h.kind] {
		// The full identity is unknown: ask for it and let the sender repeat.
		_ = e.write(kindWho, source, true, nil)
		return
	}
	if handler := e.handler(h.kind); handler != nil {
		handler.ReceiveDatagram(from, payload)
	}
}

// whole returns the payload behind its preamble, and whether the preamble is known.
func (e *Endpoint) whole(source *net.UDPAddr, h header, payload []byte) ([]byte, bool) {
	preamble, ok := h.preamble, true
	switch {
	case h.tagged:
		preamble, ok = e.preambles.find(source.AddrPort(), h.tag)
	case len(preamble) > 0:
		e.preambles.learn(source.AddrPort(), preamble)
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
