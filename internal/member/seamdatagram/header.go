package seamdatagram

import (
	"encoding/binary"
	"fmt"

	"cardamomseam/internal/member/seampeer"
)

// identityBit is set in the kind byte of a datagram whose header contains the full identity.
const identityBit = 0x80

// MalformedError reports a malformed datagram header.
type MalformedError struct {
	// Field is the malformed part of the header.
	Field string
}

// Error gives the field.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed datagram header: %s", e.Field)
}

// header is the part of a datagram before its payload.
type header struct {
	kind        Kind
	hasIdentity bool
	from        seampeer.Peer
	// preamble is set if the datagram contains a full preamble.
	preamble []byte
	// tag identifies a preamble if tagged is set.
	tag    uint32
	tagged bool
}

func appendHeader(b []byte, k Kind, from seampeer.Peer, withIdentity bool) []byte {
	if anonymous[k] {
		return append(b, byte(k))
	}
	first := byte(k)
	if withIdentity {
		first |= identityBit
	}
	b = append(b, first)
	b = binary.AppendUvarint(b, from.Incarnation)
	b = appendText(b, from.Name)
	if withIdentity {
		b = appendText(b, from.Address)
		b = appendText(b, from.Region)
		b = appendText(b, from.Domain)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func parseHeader(frame []byte) (header, []byte, error) {
	if len(frame) == 0 {
		return header{}, nil, &MalformedError{Field: "kind"}
	}
	h := header{kind: Kind(frame[0] &^ identityBit), hasIdentity: frame[0]&identityBit != 0}
	if anonymous[h.kind&^(preambleBit|tagBit)] {
		return parseAnonymous(h, frame[1:])
	}
	incarnation, n := binary.Uvarint(frame[1:])
	if n <= 0 {
		return header{}, nil, &MalformedError{Field: "incarnation"}
	}
	h.from.Incarnation = incarnation
	rest := frame[1+n:]
	fields := []*string{&h.from.Name}
	if h.hasIdentity {
		fields = append(fields, &h.from.Address, &h.from.Region, &h.from.Domain)
	}
	for _, f := range fields {
		var ok bool
		if *f, rest, ok = parseText(rest); !ok {
			return header{}, nil, &MalformedError{Field: "sender"}
		}
	}
	return h, rest, nil
}

// parseAnonymous parses the rest of the header of an anonymous kind: a preamble, a tag or nothing.
func parseAnonymous(h header, rest []byte) (header, []byte, error) {
	flags := h.kind & (preambleBit | tagBit)
	h.kind &^= flags
	switch flags {
	case 0:
		return h, rest, nil
	case preambleBit:
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return header{}, nil, &MalformedError{Field: "preamble"}
		}
		end := n + int(size)
		h.preamble = rest[n:end]
		return h, rest[end:], nil
	case tagBit:
		if len(rest) < tagBytes {
			return header{}, nil, &MalformedError{Field: "tag"}
		}
		h.tag, h.tagged = binary.BigEndian.Uint32(rest), true
		return h, rest[tagBytes:], nil
	default:
		return header{}, nil, &MalformedError{Field: "kind"}
	}
}

func parseText(b []byte) (text string, rest []byte, ok bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return "", nil, false
	}
	end := n + int(size)
	return string(b[n:end]), b[end:], true
}
