package seamtable_test

import (
	"testing"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamtable"
)

// TestPlacementAllows guards against keys in a forbidden region or an evacuated domain, and against a placement without
// restrictions that forbids nodes.
func TestPlacementAllows(t *testing.T) {
	node := seampeer.Peer{Name: "n", Region: "west", Domain: "west-1"}
	for name, tt := range map[string]struct {
		placement seamtable.Placement
		node      seampeer.Peer
		want      bool
	}{
		"no restriction":       {seamtable.Placement{}, node, true},
		"unknown node":         {seamtable.Placement{}, seampeer.Peer{}, true},
		"allowed region":       {seamtable.Placement{Regions: []string{"east", "west"}}, node, true},
		"other region":         {seamtable.Placement{Regions: []string{"east"}}, node, false},
		"unknown region":       {seamtable.Placement{Regions: []string{"east"}}, seampeer.Peer{Name: "n"}, false},
		"excluded domain":      {seamtable.Placement{ExcludedDomains: []string{"east-1", "west-1"}}, node, false},
		"other domain":         {seamtable.Placement{ExcludedDomains: []string{"west"}}, node, true},
		"excluded and allowed": {seamtable.Placement{Regions: []string{"west"}, ExcludedDomains: []string{"west-1"}}, node, false},
	} {
		if got := tt.placement.Allows(tt.node); got != tt.want {
			t.Errorf("%s: allowed %v", name, got)
		}
	}
}
