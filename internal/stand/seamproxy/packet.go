package seamproxy

import (
	"net"
	"time"
)

// packetSize is the largest datagram.
const packetSize = 64 << 10

// receive relays the datagrams sent to a node. Each leaves from the relay of its sender, so
// that the node sees the sender's advertised address and may answer to it.
func (p *Proxy) receive(r *relay) {
	buffer := make([]byte, packetSize)
	for {
		n, source, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender := p.sender(source)
		if sender == nil {
			continue
		}
		p.relayPacket(sender, r, append([]byte(nil), buffer[:n]...))
	}
}

func (p *Proxy) sender(source *net.UDPAddr) *relay {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sources[source.String()]
}

func (p *Proxy) relayPacket(from, to *relay, body []byte) {
	l := p.network.Link(from.node.Location, to.node.Location)
	delay, lost := p.network.draw(l)
	if lost || l.Blocked {
		return
	}
	if delay == 0 {
		_, _ = from.packets.WriteToUDP(body, to.real)
		return
	}
	time.AfterFunc(delay, func() {
		_, _ = from.packets.WriteToUDP(body, to.real)
	})
}
