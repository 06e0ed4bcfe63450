package seamroutes_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamroutes"
)

// restricted returns a route to the services that allows the regions.
func restricted(prefix string, regions []string, services ...seamroutes.WeightedService) seamroutes.Route {
	return seamroutes.Route{Name: prefix, Host: "visits.example", Prefix: prefix, Services: services, MaxAttempts: 1, Regions: regions}
}

func regionDocument(revision int64) seamroutes.Document {
	d := document(revision)
	d.Routes = []seamroutes.Route{
		restricted("/", nil, weighted("web", 1)),
		restricted("/a/", []string{"ost", "west"}, weighted("web", 1), weighted("trial", 0)),
		restricted("/b/", []string{"west", "sued", "west"}, weighted("web", 9), weighted("calendar", 1)),
		restricted("/c/", []string{"ost"}, weighted("calendar", 1)),
		restricted("/d/", []string{}, weighted("booker", 1)),
	}
	return d
}

// Guards against keys that are placed where a restricted route forbids them, and against restrictions by routes that send nothing.
func TestServiceRegionsAreCommonToItsRestrictedRoutes(t *testing.T) {
	table := seamroutes.Compile(regionDocument(1))
	for service, want := range map[string][]string{"web": {"west"}, "calendar": nil, "trial": nil, "booker": nil, "other": nil} {
		if d := cmp.Diff(want, table.ServiceRegions(service)); d != "" {
			t.Errorf("%s: %s", service, d)
		}
	}
	if d := cmp.Diff([]string{"calendar"}, table.ConflictingServices()); d != "" {
		t.Error(d)
	}
}

// Guards against a decision without its route's regions, and against one that keeps those of a former configuration.
func TestDecisionHasTheRegionsOfItsRoute(t *testing.T) {
	events := seamevent.NewStream("n")
	active := seamroutes.NewActiveTable(events)
	if _, ok := active.RequestRegions("visits.example", "/a/"); ok {
		t.Error("there are regions without routes")
	}
	if err := active.Apply(time.Unix(0, 0), regionDocument(1), "test"); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string][]string{"/x": nil, "/a/x?y=/c/": {"ost", "west"}, "/d/x": {}} {
		decision, err := active.Decide(request("http://VISITS.example:80"+path, "1"), "", "")
		if err != nil || len(decision.Regions) != len(want) {
			t.Errorf("%s: got %q, %v, want %q", path, decision.Regions, err, want)
		}
		if regions, ok := active.RequestRegions("VISITS.example:80", path); !ok || cmp.Diff(decision.Regions, regions) != "" {
			t.Errorf("%s: got %q, %t, want those of the decision", path, regions, ok)
		}
	}
	changed := regionDocument(2)
	changed.Routes[1].Regions = []string{"sued"}
	if err := active.Apply(time.Unix(1, 0), changed, "test"); err != nil {
		t.Fatal(err)
	}
	if regions, ok := active.RequestRegions("visits.example", "/a/x"); !ok || cmp.Diff([]string{"sued"}, regions) != "" {
		t.Errorf("after the change: %q, %t", regions, ok)
	}
	if _, ok := active.RequestRegions("other.example", "/a/x"); ok {
		t.Error("a request without a route has regions")
	}
}
