package seamrule_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/rule/seamrule"
)

func compile(t *testing.T, text string) *seamrule.Program {
	t.Helper()
	d, err := seamrule.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := seamrule.Compile(d)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPrecedence(t *testing.T) {
	p := compile(t, `
service: tally
limits: {retries: 1}
selectors:
  - {name: rest}
  - {name: region, match: {regions: [erie]}}
  - {name: method, match: {methods: [POST]}, limits: {queue: 5}}
  - {name: path, match: {path: /a}}
  - {name: longer, match: {path: /a/b}}
  - {name: both, match: {path: /a/b, methods: [POST]}, limits: {deadline: 50}}
`)
	tests := []struct {
		method, path, region, want string
		limits                     seamrule.Limits
	}{
		{"GET", "/", "ost", "rest", seamrule.Limits{DeadlineMillis: 2000, Retries: 1, QueueLength: 64}},
		{"GET", "/", "erie", "region", seamrule.Limits{DeadlineMillis: 2000, Retries: 1, QueueLength: 64}},
		{"POST", "/", "erie", "method", seamrule.Limits{DeadlineMillis: 2000, Retries: 1, QueueLength: 5}},
		{"POST", "/ab", "erie", "path", seamrule.Limits{DeadlineMillis: 2000, Retries: 1, QueueLength: 64}},
		{"GET", "/a/b/c", "erie", "longer", seamrule.Limits{DeadlineMillis: 2000, Retries: 1, QueueLength: 64}},
		{"POST", "/a/b/c", "ost", "both", seamrule.Limits{DeadlineMillis: 50, Retries: 1, QueueLength: 64}},
	}
	for _, tt := range tests {
		c, err := p.Decide(seamrule.Query{Service: "tally", Method: tt.method, Path: tt.path, Region: tt.region})
		if err != nil {
			t.Fatal(err)
		}
		if c.Selector != tt.want || c.Limits != tt.limits {
			t.Errorf("%s %s from %s: %s %+v, want %s %+v", tt.method, tt.path, tt.region, c.Selector, c.Limits, tt.want, tt.limits)
		}
	}
}

func TestWeightsAmongEqualSelectors(t *testing.T) {
	p := compile(t, "service: tally\nselectors: [{name: a, weight: 3}, {name: b}, {name: other, match: {path: /x}}]")
	counts := map[string]int{}
	const draws = 400
	for i := range draws {
		c, err := p.Decide(seamrule.Query{Path: "/", Random: float64(i) / draws})
		if err != nil {
			t.Fatal(err)
		}
		counts[c.Selector]++
	}
	if diff := cmp.Diff(map[string]int{"a": 300, "b": 100}, counts); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestUnmatched(t *testing.T) {
	p := compile(t, "service: tally\nselectors: [{name: a, match: {path: /a}}]")
	var unmatched *seamrule.UnmatchedError
	if _, err := p.Decide(seamrule.Query{Path: "/b"}); !errors.As(err, &unmatched) || unmatched.Status() != 404 || unmatched.Reason() != "selector" {
		t.Fatalf("got %v", err)
	}
}

func TestKey(t *testing.T) {
	tests := []struct {
		source, target, header string
		want                   string
		missing                bool
	}{
		{source: "header:seam-key", target: "/", header: "h 1", want: "h 1"},
		{source: "header:Seam-Key", target: "/", missing: true},
		{source: "query:id", target: "/?x=1&id=h%2F1+a&y=", want: "h/1 a"},
		{source: "query:id", target: "/?i%64=7", want: "7"},
		{source: "query:id", target: "/?id=", missing: true},
		{source: "query:id", target: "/?id=1&id=2", missing: true},
		{source: "query:id", target: "/?id=%zz", missing: true},
		{source: "path:1", target: "/h/17", want: "h"},
		{source: "path:2", target: "/h/17/x", want: "17"},
		{source: "path:2", target: "/h/a%2Fb/x", want: "a/b"},
		{source: "path:3", target: "/h/17", missing: true},
		{source: "path:2", target: "/h//x", missing: true},
	}
	for _, tt := range tests {
		p := compile(t, "service: tally\nkeyed: {key: '"+tt.source+"', slots: 4}\nselectors: [{name: all}]")
		r := httptest.NewRequest(http.MethodGet, tt.target, http.NoBody)
		if tt.header != "" {
			r.Header.Set("Seam-Key", tt.header)
		}
		key, err := p.Key(r)
		var missing *seamrule.KeyError
		if errors.As(err, &missing) != tt.missing || key != tt.want {
			t.Errorf("%s of %s: %q, %v", tt.source, tt.target, key, err)
		}
	}
	p := compile(t, "service: tally\nkeyed: {key: 'header:Seam-Key', slots: 4}\nselectors: [{name: all}]")
	r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
	r.Header["Seam-Key"] = []string{"a", "b"}
	if _, err := p.Key(r); err == nil {
		t.Error("a request with two keys was accepted")
	}
}

func TestSlotOfHomePrefix(t *testing.T) {
	p := compile(t, `
service: calendar
keyed:
  key: path:1
  slots: 10
  homes:
    - {region: erie, prefixes: [e-]}
    - {region: superior, prefixes: [s-, e-s-]}
    - {region: michigan}
selectors: [{name: all}]
`)
	tests := []struct {
		key      string
		from, to uint32
	}{
		{"e-1", 0, 3},
		{"s-1", 3, 6},
		{"e-s-1", 3, 6},
		{"other", 0, 10},
	}
	for _, tt := range tests {
		if got, want := p.Slot(tt.key), seamslot.Hash(tt.key, tt.from, tt.to); got != want {
			t.Errorf("slot of %s is %d, want %d", tt.key, got, want)
		}
	}
}

func TestKeyAlwaysMatchesSameSelector(t *testing.T) {
	p := compile(t, "service: tally\nkeyed: {key: 'path:1', slots: 4}\nselectors: [{name: a}, {name: b}]")
	seen := map[string]bool{}
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"} {
		first, _ := p.Decide(seamrule.Query{Key: key, Random: 0})
		again, _ := p.Decide(seamrule.Query{Key: key, Random: 0.99})
		if first.Selector != again.Selector {
			t.Errorf("key %s matched selectors %s and %s", key, first.Selector, again.Selector)
		}
		seen[first.Selector] = true
	}
	if len(seen) != 2 {
		t.Errorf("all keys matched %v", seen)
	}
}

func TestLabelsOf(t *testing.T) {
	d := seamrule.Document{Labels: map[string]map[string]string{"n1": {"tier": "cold", "rack": "7"}}}
	got := d.LabelsOf(seamrule.Instance{Name: "n1", Region: "erie", Domain: "erie-a", Labels: map[string]string{"tier": "hot", "region": "false"}})
	want := map[string]string{"tier": "cold", "rack": "7", "instance": "n1", "region": "erie", "domain": "erie-a"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestWarnings(t *testing.T) {
	d, err := seamrule.Parse([]byte(`
service: tally
selectors:
  - {name: hot, targets: tier = hot, match: {path: /a}}
  - {name: ice, targets: tier = ice, match: {path: /b}}
labels: {n7: {tier: cold}}
`))
	if err != nil {
		t.Fatal(err)
	}
	hot := []seamrule.Instance{{Name: "n1", Labels: map[string]string{"tier": "hot"}}}
	tests := []struct {
		name      string
		instances []seamrule.Instance
		want      []string
	}{
		{"one selector matches", hot, []string{"nothing ice", "uncovered ", "unknown "}},
		{"no instance", nil, []string{"nothing hot", "nothing ice", "empty ", "uncovered ", "unknown "}},
	}
	for _, tt := range tests {
		var got []string
		for _, w := range seamrule.Warnings(d, tt.instances) {
			got = append(got, w.Kind+" "+w.Selector)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}
