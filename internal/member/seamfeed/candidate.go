// Package seamfeed distributes the changes of the store to all nodes. In each failure domain a few nodes, the readers,
// list and watch the store. The other nodes subscribe to a reader, so that the number of calls to the store grows with
// the number of failure domains and not with the number of nodes.
package seamfeed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamomseam/internal/member/seampeer"
)

// ReadersPerDomain is the number of readers in each failure domain. With two, the subscribers of a lost reader turn to
// the other one instead of the store.
const ReadersPerDomain = 2

// Candidate is a node that may be a reader.
type Candidate struct {
	Peer seampeer.Peer
	// Capacity ranks the candidates of a failure domain: nodes on larger machines become readers.
	Capacity int
}

// Readers returns the readers of a failure domain, in an order that is the same at all nodes that know the same
// candidates.
func Readers(candidates []Candidate, domain string) []Candidate {
	var inDomain []Candidate
	for _, c := range candidates {
		if c.Peer.Domain == domain {
			inDomain = append(inDomain, c)
		}
	}
	slices.SortFunc(inDomain, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Peer.Name), xxhash.Sum64String(b.Peer.Name)),
			cmp.Compare(a.Peer.Name, b.Peer.Name),
		)
	})
	return inDomain[:min(len(inDomain), ReadersPerDomain)]
}

// subscriptionOrder sorts readers by a hash of both nodes' names, so that subscribers spread over the readers.
func subscriptionOrder(self string, readers []Candidate) {
	rank := func(c Candidate) uint64 { return xxhash.Sum64String(self + "\x00" + c.Peer.Name) }
	slices.SortFunc(readers, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Peer.Name, b.Peer.Name))
	})
}
