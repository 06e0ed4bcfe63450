package seampick

import (
	"time"

	"cardamomseam/internal/member/seampeer"
)

const (
	// reportLife is the time for which the load in an answer is believed.
	reportLife = time.Second
	// nodeLife is the time after which a node that takes no requests is forgotten.
	nodeLife = time.Minute
	// sweepSize is the number of nodes from which old ones are looked for.
	sweepSize = 256
)

// node is what is known of a node from requests sent to it.
type node struct {
	// own is the number of requests that this node has there.
	own int
	// reported is the number of requests there in the last answer, ownThen of them from this node.
	reported, ownThen int
	slots             int
	at                time.Time
	used              time.Time
	health            health
}

// load returns the requests in flight at a candidate, by what is freshest, over its slots.
func (n *node) load(now time.Time, c Candidate) float64 {
	slots, inFlight := c.Slots, c.InFlight
	if n != nil {
		if now.Sub(n.at) < reportLife {
			inFlight = n.reported - n.ownThen + n.own
			slots = n.slots
		}
		inFlight = max(inFlight, n.own)
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
