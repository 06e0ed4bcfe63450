package seampick

import (
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// reportTTL is the time for which the load reported in a response is used.
	reportTTL = time.Second
	// nodeTTL is the time after which the state of a node without requests is removed.
	nodeTTL = time.Minute
	// sweepThreshold is the number of nodes from which unused ones are removed.
	sweepThreshold = 256
)

// node holds what is known of a node from the requests sent to it.
type node struct {
	// ownInFlight is the number of requests from this node.
	ownInFlight int
	// reportedInFlight is the number of requests reported in the last response, ownAtReport of them from this node.
	reportedInFlight, ownAtReport int
	slots                         int
	reportedAt                    time.Time
	lastUsed                      time.Time
	health                        health
}

// load returns the requests in flight at a candidate divided by its slots, from the freshest data available.
func (n *node) load(now time.Time, c Candidate) float64 {
	slots, inFlight := c.Slots, c.InFlight
	if n != nil {
		if now.Sub(n.reportedAt) < reportTTL {
			inFlight = n.reportedInFlight - n.ownAtReport + n.ownInFlight
			slots = n.slots
		}
		inFlight = max(inFlight, n.ownInFlight)
	}
	return float64(inFlight) / float64(max(slots, 1))
}

// key identifies an incarnation of a node.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(p seampeer.Peer) key {
	return key{p.Name, p.Incarnation}
}
