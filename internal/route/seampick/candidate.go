// Package seampick picks the node to which a request is sent. It filters candidates
// by labels, prefers nearby ones, balances load by the power of two random choices,
// and ejects nodes that fail repeatedly.
package seampick

import (
	"cardamomseam/internal/member/seampeer"
)

// Candidate is a node whose target serves a service.
type Candidate struct {
	Peer seampeer.Peer
	// Labels are the labels of the target and of its instance.
	Labels map[string]string
	// Slots is the maximum number of requests that the target runs concurrently.
	Slots int
	// InFlight is the last reported number of requests running or queued at the node.
	InFlight int
	// Draining means that the node or its target is shutting down.
	Draining bool
}

// LabelMatcher reports whether labels satisfy a selector.
type LabelMatcher interface {
	Matches(labels map[string]string) bool
}

// distance classifies nodes by failure domain and region, the nearest first.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	numDistances
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
