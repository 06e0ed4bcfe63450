// Package seamcellwire defines the messages that the nodes of a cell exchange for leases, heartbeats,
// membership and slot transfers.
package seamcellwire

import "google.golang.org/protobuf/proto"

// Split encodes a message in two parts: a preamble with the fields that stay the same between two
// nodes, and the rest. The concatenation of the two parts is the encoded message.
func Split(m *Message) (preamble, rest []byte, err error) {
	fixed := &Message{Name: m.GetName(), Incarnation: m.GetIncarnation(), Cell: m.GetCell(), To: m.GetTo()}
	preamble, err = proto.Marshal(fixed)
	if err != nil {
		return nil, nil, err
	}
	rest, err = proto.Marshal(&Message{Term: m.GetTerm(), Body: m.GetBody()})
	return preamble, rest, err
}
