package seamproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Node is one relayed node.
type Node struct {
	Location
	// Address is the ip:port that other nodes use; the proxy listens there on TCP and UDP.
	Address string `json:"address"`
	// Listen is the ip:port where the node itself listens, and from which it sends datagrams.
	Listen string `json:"listen"`
}

// Resolver tells which place opened a connection.
type Resolver interface {
	// Resolve returns the place of the process that holds the remote end of the connection between
	// the addresses.
	Resolve(remote, local net.Addr) Location
}

// Proxy relays the traffic of a set of nodes over a Network.
type Proxy struct {
	network  *Network
	resolver Resolver

	mu     sync.Mutex
	closed bool
	relays map[string]*relay
	// sources maps the addresses from which nodes send datagrams to their relays.
	sources map[string]*relay
	pairs   map[*pair]struct{}
}

// New returns a proxy and a function that ends all its relays.
func New(n *Network, r Resolver) (*Proxy, func()) {
	p := &Proxy{
		network:  n,
		resolver: r,
		relays:   map[string]*relay{},
		sources:  map[string]*relay{},
		pairs:    map[*pair]struct{}{},
	}
	return p, p.close
}

// relay is the proxy's side of one node.
type relay struct {
	node     Node
	listener net.Listener
	packets  *net.UDPConn
	real     *net.UDPAddr
}

// Add starts to relay a node.
func (p *Proxy) Add(n Node) error {
	listener, err := net.Listen("tcp", n.Address)
	if err != nil {
		return errors.Wrapf(err, "proxy of %s", n.Name)
	}
	packets, err := listenPackets(n.Address)
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
	r := &relay{node: n, listener: listener, packets: packets, real: address}
	p.mu.Lock()
	p.relays[n.Name] = r
	p.sources[address.String()] = r
	p.mu.Unlock()
	go p.accept(r)
	go p.receive(r)
	return nil
}

func listenPackets(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", a)
}

// Sever closes the open connections between two groups, whoever opened them, and returns
// their number. Bytes on the way are lost.
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
		_ = r.packets.Close()
	}
	for x := range p.pairs {
		x.close()
	}
}

func (p *Proxy) track(x *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[x] = struct{}{}
	return true
}

func (p *Proxy) forget(x *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, x)
}
