package seamproxy

import (
	"net"
	"time"
)

// maxDatagramSize is the maximum size of a datagram in bytes.
const maxDatagramSize = 64 << 10

// relayDatagrams relays the datagrams sent to a node. It sends each from the relay of its sender,
// so that the node sees the sender's advertised address and can reply to it.
func (p *Proxy) relayDatagrams(r *relay) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, source, err := r.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender := p.sender(source)
		if sender == nil {
			continue
		}
		p.relayDatagram(sender, r, append([]byte(nil), buffer[:n]...))
	}
}

func (p *Proxy) sender(source *net.UDPAddr) *relay {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sources[source.String()]
}

func (p *Proxy) relayDatagram(from, to *relay, body []byte) {
	l := p.network.Link(from.node.Location, to.node.Location)
	delay, lost := p.network.sample(l)
	if lost || l.Blocked {
		return
	}
	if delay == 0 {
		_, _ = from.udp.WriteToUDP(body, to.nodeAddress)
		return
	}
	time.AfterFunc(delay, func() {
		_, _ = from.udp.WriteToUDP(body, to.nodeAddress)
	})
}
