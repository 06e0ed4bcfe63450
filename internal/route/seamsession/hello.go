package seamsession

import (
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamroutewire"
)

// Wire returns the peer in its wire form.
func PeerToWire(p seampeer.Peer) *seamroutewire.Peer {
	return &seamroutewire.Peer{
		Name:        p.Name,
		Incarnation: p.Incarnation,
		Address:     p.Address,
		Region:      p.Region,
		Domain:      p.Domain,
	}
}

// Peer returns the peer of a wire form, which may be nil.
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

// introduce sends h, reads the hello of the other side and returns it.
func introduce(conn net.Conn, h *seamroutewire.Hello, limit time.Duration) (*seamroutewire.Hello, error) {
	conn.SetDeadline(time.Now().Add(limit))
	defer conn.SetDeadline(time.Time{})
	if _, err := protodelim.MarshalTo(conn, h); err != nil {
		return nil, err
	}
	return readHello(conn)
}

func readHello(conn net.Conn) (*seamroutewire.Hello, error) {
	h := new(seamroutewire.Hello)
	err := protodelim.UnmarshalOptions{MaxSize: helloLimit}.UnmarshalFrom(byteReader{conn}, h)
	return h, err
}

// fits reports whether got is the run that is wanted. An empty name and the
// incarnation 0 accept any.
func fits(got, want seampeer.Peer) bool {
	if want.Name != "" && want.Name != got.Name {
		return false
	}
	return want.Incarnation == 0 || want.Incarnation == got.Incarnation
}

func answerHello(conn net.Conn, h *seamroutewire.Hello) error {
	_, err := protodelim.MarshalTo(conn, h)
	return err
}
