// Package seamproxy relays TCP and UDP between nodes and shows the faults of a network:
// delay, jitter, limited bandwidth, loss, held and severed connections, and partitions in
// one direction between named groups. Its random decisions are seeded.
package seamproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Place is where a node stands. Names of nodes, failure domains and regions are groups.
type Location struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
}

// In reports whether the place belongs to the group; the group "*" holds every place.
func (p Location) InGroup(group string) bool {
	return group == "*" || group == p.Name || group == p.Domain || group == p.Region
}

// Link is the state of one direction between two places.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration `json:"delay,omitempty"`
	// Jitter is the largest further delay; it reorders datagrams and never bytes of a connection.
	Jitter time.Duration `json:"jitter,omitempty"`
	// Rate is the bandwidth in bytes a second for each connection; 0 is unlimited.
	Rate int64 `json:"rate,omitempty"`
	// Loss is the probability that a datagram is lost, and that a piece of a connection's
	// bytes comes late by RetransmitDelay.
	Loss float64 `json:"loss,omitempty"`
	// Held says that nothing passes: datagrams are lost, bytes wait until the link is
	// whole again, as if they were retransmitted in vain.
	Blocked bool `json:"held,omitempty"`
}

// RetransmitDelay is the delay of a lost piece of a connection's bytes.
const RetransmitDelay = 200 * time.Millisecond

// Latencies are the one-way delays of a deployment.
type Latencies struct {
	// Domain is the delay between two failure domains of a region.
	Domain time.Duration `json:"domain"`
	// Region is the delay between two regions.
	Region time.Duration `json:"region"`
}

// Latencies of the two deployments and of a network without delay.
var (
	Lakeshore = Latencies{Domain: time.Millisecond, Region: 12 * time.Millisecond}
	Reisinger = Latencies{Domain: 500 * time.Microsecond, Region: 12 * time.Millisecond}
	Loopback  = Latencies{}
)

// Fault changes the links from one group to another.
type Fault struct {
	// From and To are groups.
	From string `json:"from"`
	To   string `json:"to"`
	// Link is added to the usual link: delays add up, the lower rate and the higher loss count.
	Link Link `json:"link"`
}

// Network decides about each piece of traffic between places.
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

// Inject adds a fault and returns a function that heals it.
func (n *Network) Inject(f Fault) (heal func()) {
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

// Partition holds all traffic from one group to another, in that direction only.
func (n *Network) Partition(from, to string) (heal func()) {
	return n.Inject(Fault{From: from, To: to, Link: Link{Blocked: true}})
}

// Isolate holds all traffic between a group and all places outside it.
func (n *Network) Isolate(group string) (heal func()) {
	return n.Inject(Fault{From: group, To: "", Link: Link{Blocked: true}})
}

// Link returns the present link between two places.
func (n *Network) Link(from, to Location) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.usual(from, to)
	for _, f := range n.faults {
		if f.covers(from, to) {
			l = combine(l, f.Link)
		}
	}
	return l
}

// covers reports whether the fault concerns traffic between two places. An empty To stands
// for all places outside From, in both directions.
func (f Fault) covers(from, to Location) bool {
	if f.To == "" {
		return from.InGroup(f.From) != to.InGroup(f.From)
	}
	return from.InGroup(f.From) && to.InGroup(f.To)
}

func (n *Network) usual(from, to Location) Link {
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

// draw returns the delay of one piece of traffic and whether it is lost.
func (n *Network) draw(l Link) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = l.Delay
	if l.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(l.Jitter)))
	}
	return delay, l.Loss > 0 && n.random.Float64() < l.Loss
}
