package seamtable

import (
	"slices"

	"cardamomseam/internal/member/seampeer"
)

// Placement restricts the nodes beside whose targets the keys of a service may be placed. The zero value allows all.
type Placement struct {
	// Regions are the allowed regions; empty means all.
	Regions []string
	// ExcludedDomains are the failure domains that get no keys.
	ExcludedDomains []string
}

// Allows reports whether keys may be placed beside the node.
func (p Placement) Allows(node seampeer.Peer) bool {
	if len(p.Regions) > 0 && !slices.Contains(p.Regions, node.Region) {
		return false
	}
	return !slices.Contains(p.ExcludedDomains, node.Domain)
}

// Equal reports whether both placements list the same regions and domains in the same order.
func (p Placement) Equal(o Placement) bool {
	return slices.Equal(p.Regions, o.Regions) && slices.Equal(p.ExcludedDomains, o.ExcludedDomains)
}
