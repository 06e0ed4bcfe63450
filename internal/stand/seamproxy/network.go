// Package seamproxy relays TCP and UDP traffic between nodes and injects network faults: delay,
// jitter, limited bandwidth, loss, blocked and severed connections, and one-way partitions
// between named groups. Its random decisions are seeded.
package seamproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Location holds the name, failure domain and region of a node. Faults select groups of locations
// by any of the three.
type Location struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
}

// InGroup reports whether the group is the location's name, failure domain or region, or "*", which
// contains all locations.
func (l Location) InGroup(group string) bool {
	return group == "*" || group == l.Name || group == l.Domain || group == l.Region
}

// Link is the state of one direction between two locations.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration `json:"delay,omitempty"`
	// Jitter is the maximum additional random delay. It may reorder datagrams, but never the
	// bytes of a connection.
	Jitter time.Duration `json:"jitter,omitempty"`
	// Rate is the bandwidth of each connection in bytes per second; 0 is unlimited.
	Rate int64 `json:"rate,omitempty"`
	// Loss is the probability that a datagram is lost, and that a chunk of a connection's byte stream
	// is delayed by RetransmitDelay.
	Loss float64 `json:"loss,omitempty"`
	// Blocked stops all traffic. Datagrams are lost; bytes of connections wait until the link is
	// unblocked, as if all retransmissions failed.
	Blocked bool `json:"held,omitempty"`
}

// RetransmitDelay is the additional delay of a lost chunk of a connection, as if TCP retransmitted it.
const RetransmitDelay = 200 * time.Millisecond

// Latencies are the one-way delays between the locations of a deployment.
type Latencies struct {
	// Domain is the delay between two failure domains in the same region.
	Domain time.Duration `json:"domain"`
	// Region is the delay between two regions.
	Region time.Duration `json:"region"`
}

// Latencies of the simulated deployments Lakeshore and Reisinger, and of a network without delay.
var (
	Lakeshore = Latencies{Domain: time.Millisecond, Region: 12 * time.Millisecond}
	Reisinger = Latencies{Domain: 500 * time.Microsecond, Region: 12 * time.Millisecond}
	Loopback  = Latencies{}
)

// Fault degrades the links from one group to another.
type Fault struct {
	// From and To are names of groups. An empty To stands for all locations outside From, in
	// both directions.
	From string `json:"from"`
	To   string `json:"to"`
	// Link is combined with the baseline link: delays and jitters add up, the lower rate and the higher
	// loss apply, and the link is blocked if either is.
	Link Link `json:"link"`
}

// Network determines the delay and loss of the traffic between locations.
type Network struct {
	latencies Latencies

	mu     sync.Mutex
	random *rand.Rand
	faults map[int]Fault
	next   int
}

// NewNetwork returns a network without faults.
func NewNetwork(l Latencies, seed uint64) *Network {
	return &Network{
		latencies: l,
		random:    rand.New(rand.NewPCG(seed, 2)),
		faults:    map[int]Fault{},
	}
}

// Inject adds a fault and returns a function that removes it.
func (n *Network) Inject(f Fault) (remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.next
	n.next++
	n.faults[id] = f
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.faults, id)
	}
}

// Partition blocks all traffic from one group to another, in that direction only.
func (n *Network) Partition(from, to string) (remove func()) {
	return n.Inject(Fault{From: from, To: to, Link: Link{Blocked: true}})
}

// Isolate blocks all traffic between a group and all locations outside it.
func (n *Network) Isolate(group string) (remove func()) {
	return n.Inject(Fault{From: group, To: "", Link: Link{Blocked: true}})
}

// Link returns the current link from one location to another, with all faults applied.
func (n *Network) Link(from, to Location) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.baseline(from, to)
	for _, f := range n.faults {
		if f.matches(from, to) {
			l = combine(l, f.Link)
		}
	}
	return l
}

// matches reports whether the fault affects traffic from one location to another. An empty To
// stands for all locations outside From, in both directions.
func (f Fault) matches(from, to Location) bool {
	if f.To == "" {
		return from.InGroup(f.From) != to.InGroup(f.From)
	}
	return from.InGroup(f.From) && to.InGroup(f.To)
}

// baseline returns the link without faults. It has no delay if one of the locations has no name.
func (n *Network) baseline(from, to Location) Link {
	switch {
	case from.Name == "" || to.Name == "":
		return Link{}
	case from.Region != to.Region:
		return Link{Delay: n.latencies.Region}
	case from.Domain != to.Domain:
		return Link{Delay: n.latencies.Domain}
	}
	return Link{}
}

func combine(a, b Link) Link {
	a.Delay += b.Delay
	a.Jitter += b.Jitter
	a.Loss = max(a.Loss, b.Loss)
	a.Blocked = a.Blocked || b.Blocked
	if a.Rate == 0 || (b.Rate > 0 && b.Rate < a.Rate) {
		a.Rate = b.Rate
	}
	return a
}

// sample randomly determines the delay of a datagram or chunk and whether it is lost.
func (n *Network) sample(l Link) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = l.Delay
	if l.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(l.Jitter)))
	}
	return delay, l.Loss > 0 && n.random.Float64() < l.Loss
}
