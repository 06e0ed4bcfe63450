// Package seampick chooses the node to which a request goes: by labels, by
// distance, by two random choices on load, and without nodes that keep failing.
package seampick

import (
	"cardamomseam/internal/member/seampeer"
)

// Candidate is a node whose target serves a service.
type Candidate struct {
	Peer seampeer.Peer
	// Labels are those of the target and of its instance.
	Labels map[string]string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// InFlight is the number of requests at the node, as last reported.
	InFlight int
	// Draining says that the node or its target is leaving.
	Draining bool
}

// Labeled reports whether labels satisfy an expression.
type LabelMatcher interface {
	Matches(labels map[string]string) bool
}

// distance is how far a node is.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distances
)

func distanceOf(self, peer seampeer.Peer) distance {
	switch {
	case self.Region != peer.Region:
		return otherRegion
	case self.Domain != peer.Domain:
		return sameRegion
	default:
		return sameDomain
	}
}
