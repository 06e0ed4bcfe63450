package seamproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Node is a node whose traffic is relayed.
type Node struct {
	Location
	// Address is the advertised ip:port, used by other nodes. The proxy listens there on TCP and UDP.
	Address string `json:"address"`
	// Listen is the ip:port on which the node itself listens and from which it sends datagrams.
	Listen string `json:"listen"`
}

// Resolver finds the location of the process that opened a connection.
type Resolver interface {
	// Resolve returns the location of the process that holds the remote end of the connection
	// between the addresses.
	Resolve(remote, local net.Addr) Location
}

// Proxy relays the traffic of a set of nodes over a Network.
type Proxy struct {
	network  *Network
	resolver Resolver

	mu     sync.Mutex
	closed bool
	relays map[string]*relay
	// sources maps the address from which a node sends datagrams to its relay.
	sources map[string]*relay
	pairs   map[*connPair]struct{}
}

// New returns a proxy without nodes, and a function that stops it and closes its connections.
func New(n *Network, r Resolver) (*Proxy, func()) {
	p := &Proxy{
		network:  n,
		resolver: r,
		relays:   map[string]*relay{},
		sources:  map[string]*relay{},
		pairs:    map[*connPair]struct{}{},
	}
	return p, p.close
}

// relay holds the sockets of the proxy for one node.
type relay struct {
	node        Node
	listener    net.Listener
	udp         *net.UDPConn
	nodeAddress *net.UDPAddr
}

// Add starts relaying the traffic to a node. The error is that of listening on its address.
func (p *Proxy) Add(n Node) error {
	listener, err := net.Listen("tcp", n.Address)
	if err != nil {
		return errors.Wrapf(err, "proxy of %s", n.Name)
	}
	packets, err := listenUDP(n.Address)
	if err != nil {
		listener.Close()
		return errors.Wrapf(err, "proxy of %s", n.Name)
	}
	address, err := net.ResolveUDPAddr("udp", n.Listen)
	if err != nil {
		listener.Close()
		_ = packets.Close()
		return errors.Wrapf(err, "proxy of %s", n.Name)
	}
	r := &relay{node: n, listener: listener, udp: packets, nodeAddress: address}
	p.mu.Lock()
	p.relays[n.Name] = r
	p.sources[address.String()] = r
	p.mu.Unlock()
	go p.accept(r)
	go p.relayDatagrams(r)
	return nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", a)
}

// Sever closes the open connections between two groups, whichever side opened them, and
// returns their number. Bytes in transit are lost.
func (p *Proxy) Sever(a, b string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for x := range p.pairs {
		if (x.from.InGroup(a) && x.to.InGroup(b)) || (x.from.InGroup(b) && x.to.InGroup(a)) {
			x.close()
			count++
		}
	}
	return count
}

func (p *Proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.relays {
		r.listener.Close()
		_ = r.udp.Close()
	}
	for x := range p.pairs {
		x.close()
	}
}

func (p *Proxy) track(x *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[x] = struct{}{}
	return true
}

func (p *Proxy) untrack(x *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, x)
}
