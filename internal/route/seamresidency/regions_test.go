package seamresidency_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/route/seamresidency"
)

// Guards against a restriction that is lifted by an unknown region, an unknown name or a list without any region.
func TestOnlyListedRegionsAreAllowed(t *testing.T) {
	for _, tt := range []struct {
		regions []string
		region  string
		want    bool
	}{
		{nil, "ost", true},
		{[]string{}, "ost", true},
		{nil, "", true},
		{[]string{"ost", "west"}, "west", true},
		{[]string{"ost"}, "west", false},
		{[]string{"ost"}, "", false},
		{[]string{"nowhere"}, "ost", false},
		{[]string{""}, "", false},
		{[]string{""}, "ost", false},
		{[]string{"ost"}, "Ost", false},
	} {
		if got := seamresidency.Allows(tt.regions, tt.region); got != tt.want {
			t.Errorf("%q, region %q: got %t, want %t", tt.regions, tt.region, got, tt.want)
		}
	}
}

// Guards against an intersection that allows a region which one of the lists forbids, above all if they have none in common.
func TestIntersectionAllowsWhatBothListsAllow(t *testing.T) {
	lists := [][]string{nil, {}, {"ost"}, {"west"}, {"ost", "west"}, {"west", "ost", "west"}, {""}, {"nowhere"}}
	for _, a := range lists {
		for _, b := range lists {
			both := slices.Clone(seamresidency.Intersect(a, b))
			for _, region := range []string{"ost", "west", "sued", ""} {
				want := seamresidency.Allows(a, region) && seamresidency.Allows(b, region)
				if got := seamresidency.Allows(both, region); got != want {
					t.Errorf("%q and %q: region %q is allowed: %t, want %t", a, b, region, got, want)
				}
			}
		}
	}
	if d := cmp.Diff([]string{"west", "ost"}, seamresidency.Intersect([]string{"west", "ost", "west"}, []string{"ost", "west"})); d != "" {
		t.Error(d)
	}
	if none := seamresidency.Intersect([]string{"ost"}, []string{"west"}); !seamresidency.AllowsNone(none) || seamresidency.AllowsNone(nil) || seamresidency.AllowsNone([]string{"ost"}) {
		t.Errorf("%q allows some region, or another list none", none)
	}
}
