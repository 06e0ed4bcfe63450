package seampick

import (
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// reportLife is the time for which the load in an answer is believed.
	reportTTL = time.Second
	// nodeLife is the time after which a node that takes no requests is forgotten.
	nodeTTL = time.Minute
	// sweepSize is the number of nodes from which old ones are looked for.
	sweepThreshold = 256
)

// node is what is known of a node from requests sent to it.
type node struct {
	// own is the number of requests that this node has there.
	ownInFlight int
	// reported is the number of requests there in the last answer, ownThen of them from this node.
	reportedInFlight, ownAtReport int
	slots                         int
	reportedAt                    time.Time
	lastUsed                      time.Time
	health                        health
}

// load returns the requests in flight at a candidate, by what is freshest, over its slots.
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

// key identifies a run of a node.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(p seampeer.Peer) key {
	return key{p.Name, p.Incarnation}
}
