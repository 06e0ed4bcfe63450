package seamrouter

import (
	"slices"
	"sync"

	"cardamomseam/internal/member/seampeer"
)

// maxRevisionPeers is the number of nodes that are remembered.
const maxRevisionPeers = 4

// revisionPeers are the nodes that have named a newer revision of the routes than this node has. It is safe for concurrent use.
type revisionPeers struct {
	// added is signalled when a node was added.
	added chan struct{}

	mu       sync.Mutex
	revision int64
	// peers are the nodes, the latest first.
	peers []seampeer.Peer
}

func newRevisionPeers() *revisionPeers {
	return &revisionPeers{added: make(chan struct{}, 1)}
}

// add records that a node has the routes of the given revision.
func (r *revisionPeers) add(revision int64, p seampeer.Peer) {
	r.mu.Lock()
	if revision > r.revision {
		r.revision, r.peers = revision, nil
	}
	r.peers = slices.DeleteFunc(r.peers, func(known seampeer.Peer) bool { return known.Name == p.Name })
	r.peers = slices.Insert(r.peers, 0, p)
	r.peers = r.peers[:min(len(r.peers), maxRevisionPeers)]
	r.mu.Unlock()
	select {
	case r.added <- struct{}{}:
	default:
	}
}

// latest returns the latest revision that a node has named, and the nodes that have it.
func (r *revisionPeers) latest() (revision int64, peers []seampeer.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, slices.Clone(r.peers)
}
