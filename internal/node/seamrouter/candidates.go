package seamrouter

import (
	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/own/seamevacuate"
	"cardamomseam/internal/route/seampick"
)

// candidates are the nodes to choose from, made from one view of the members and one state of the evacuations.
type candidates struct {
	view        *seammembership.View
	evacuations seamevacuate.Snapshot
	// byService are the nodes whose targets serve a service.
	byService map[string][]seampick.Candidate
	// readers are the other nodes that may read the store for their failure domain.
	readers []seamfeed.Candidate
}

// currentCandidates returns the candidates by the current view of the members and the evacuations. The result is the same until
// these change.
func (n *Node) currentCandidates() *candidates {
	view, evacuations := n.members.View(), n.evacuations.Snapshot()
	known := n.candidates.Load()
	if known == nil || known.view != view || known.evacuations != evacuations {
		known = n.newCandidates(view, evacuations)
		n.candidates.Store(known)
	}
	return known
}

func (n *Node) newCandidates(view *seammembership.View, evacuations seamevacuate.Snapshot) *candidates {
	c := &candidates{view: view, evacuations: evacuations, byService: map[string][]seampick.Candidate{}}
	for service, members := range view.Services() {
		list := make([]seampick.Candidate, 0, len(members))
		for _, m := range members {
			_, evacuated := evacuations.Find(m.Peer.Domain)
			list = append(list, seampick.Candidate{
				Peer:     directory{n}.withoutIncarnation(m.Peer),
				Slots:    m.Target.Slots,
				Draining: m.Leaving || m.Target.Leaving || m.Target.Down || evacuated,
			})
		}
		c.byService[service] = list
	}
	for _, m := range view.Members {
		if m.Peer.Name != n.self.Name && !m.Leaving {
			c.readers = append(c.readers, seamfeed.Candidate{Peer: m.Peer, Capacity: m.Memory})
		}
	}
	return c
}
