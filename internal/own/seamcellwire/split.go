// Package seamcellwire holds the messages between nodes of a cell.
package seamcellwire

import "google.golang.org/protobuf/proto"

// Split encodes a message in two parts: what stays the same between two nodes, and the rest. The
// two parts, one behind the other, are the message.
func Split(m *Message) (preamble, rest []byte, err error) {
	constant := &Message{Name: m.GetName(), Incarnation: m.GetIncarnation(), Cell: m.GetCell(), To: m.GetTo()}
	preamble, err = proto.Marshal(constant)
	if err != nil {
		return nil, nil, err
	}
	rest, err = proto.Marshal(&Message{Term: m.GetTerm(), Body: m.GetBody()})
	return preamble, rest, err
}
