package seamsession

import (
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamroutewire"
)

// PeerToWire converts a peer to its wire form.
func PeerToWire(p seampeer.Peer) *seamroutewire.Peer {
	return &seamroutewire.Peer{
		Name:        p.Name,
		Incarnation: p.Incarnation,
		Address:     p.Address,
		Region:      p.Region,
		Domain:      p.Domain,
	}
}

// PeerFromWire converts the wire form of a peer, which may be nil.
func PeerFromWire(w *seamroutewire.Peer) seampeer.Peer {
	return seampeer.Peer{
		Name:        w.GetName(),
		Incarnation: w.GetIncarnation(),
		Address:     w.GetAddress(),
		Region:      w.GetRegion(),
		Domain:      w.GetDomain(),
	}
}

// byteReader reads single bytes without reading ahead.
type byteReader struct {
	io.Reader
}

func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// exchangeHello sends h and returns the hello of the other side.
func exchangeHello(conn net.Conn, h *seamroutewire.Hello, timeout time.Duration) (*seamroutewire.Hello, error) {
	conn.SetDeadline(time.Now().Add(timeout))
	defer conn.SetDeadline(time.Time{})
	if _, err := protodelim.MarshalTo(conn, h); err != nil {
		return nil, err
	}
	return readHello(conn)
}

func readHello(conn net.Conn) (*seamroutewire.Hello, error) {
	h := new(seamroutewire.Hello)
	err := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}.UnmarshalFrom(byteReader{conn}, h)
	return h, err
}

// matchesPeer reports whether got is the requested peer. An empty name matches any name, and
// incarnation 0 any incarnation.
func matchesPeer(got, want seampeer.Peer) bool {
	if want.Name != "" && want.Name != got.Name {
		return false
	}
	return want.Incarnation == 0 || want.Incarnation == got.Incarnation
}

func writeHello(conn net.Conn, h *seamroutewire.Hello) error {
	_, err := protodelim.MarshalTo(conn, h)
	return err
}
