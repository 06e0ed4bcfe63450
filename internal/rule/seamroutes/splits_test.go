package seamroutes_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamroutes"
)

// splitDocument has one route that is split among a service for each weight.
func splitDocument(revision int64, weights ...int) seamroutes.Document {
	d := seamroutes.Document{Revision: revision}
	route := restricted("/", nil)
	route.Name = "split"
	for i, w := range weights {
		name := fmt.Sprint("s", i)
		d.Services = append(d.Services, seamroutes.Service{Name: name})
		route.Services = append(route.Services, weighted(name, w))
	}
	d.Routes = []seamroutes.Route{route}
	return d
}

// Guards against shares that are wrong while each node has sent few requests, since the nodes don't communicate, and against weights of
// 0 or of very different sizes that aren't kept.
func TestNodesTogetherKeepToTheWeights(t *testing.T) {
	const requests, tolerance = 300, 0.1
	for _, weights := range [][]int{{1, 1}, {90, 10}, {10, 90}, {1, 0}, {0, 7}, {1, 10_000}, {10_000, 1}, {10_000, 10_000}, {3_333, 10_000}, {50, 30, 20}, {1, 10, 100, 1_000, 10_000}} {
		total := 0
		for _, w := range weights {
			total += w
		}
		for _, nodes := range []int{1, 12, 60} {
			tables := make([]*seamroutes.Table, nodes)
			for i := range tables {
				tables[i] = seamroutes.Compile(splitDocument(1, weights...))
			}
			counts := map[string]int{}
			r := request("http://visits.example/x", "")
			for range requests {
				decision, err := tables[rand.IntN(nodes)].Decide(r)
				if err != nil {
					t.Fatal(err)
				}
				counts[decision.Service]++
			}
			for i, w := range weights {
				got, want := float64(counts[fmt.Sprint("s", i)])/requests, float64(w)/float64(total)
				if math.Abs(got-want) > tolerance || w == 0 && got > 0 {
					t.Errorf("weights %v, %d nodes: part %d has a share of %.3f, want %.3f", weights, nodes, i, got, want)
				}
			}
		}
	}
}

// Guards against a part of weight 1 among 10,000 that gets nothing, since no node sends enough requests to come to its turn.
func TestSmallPartGetsRequests(t *testing.T) {
	const nodes, requests, want = 60, 2_000, 12
	small := 0
	r := request("http://visits.example/x", "")
	for range nodes {
		table := seamroutes.Compile(splitDocument(1, 10_000, 1))
		for range requests {
			if decision, _ := table.Decide(r); decision.Service == "s1" {
				small++
			}
		}
	}
	if small == 0 || small > 4*want {
		t.Errorf("the part got %d of %d requests, want about %d", small, nodes*requests, want)
	}
}

// Guards against requests that aren't counted, counters of parts that are gone, names that are no valid labels, and a configuration whose
// counters take much memory.
func TestRequestsOfSplitsAreCounted(t *testing.T) {
	set := metrics.NewSet()
	active := seamroutes.NewActiveTable(seamevent.NewStream("n"))
	active.CountSplits(set)
	lines := func() string {
		var out bytes.Buffer
		set.WritePrometheus(&out)
		return out.String()
	}
	apply := func(d seamroutes.Document, requests int) {
		t.Helper()
		if err := active.Apply(time.Unix(0, 0), d, "test"); err != nil {
			t.Fatal(err)
		}
		for range requests {
			if _, err := active.Decide(request("http://visits.example/x", ""), "", ""); err != nil {
				t.Fatal(err)
			}
		}
	}
	apply(splitDocument(1, 75, 25), 100)
	apply(splitDocument(2, 25, 75), 100)
	for _, want := range []string{`{route="split",service="s0"} 100`, `{route="split",service="s1"} 100`} {
		if !strings.Contains(lines(), "cardamomseam_route_requests_total"+want+"\n") {
			t.Errorf("no line %s in:\n%s", want, lines())
		}
	}
	odd := splitDocument(3, 1, 1)
	odd.Routes[0].Name = "a\"}\n\\" + strings.Repeat("x", 1<<20)
	for i := range 2_000 {
		more := restricted(fmt.Sprintf("/%d/", i), nil, weighted("s0", 1), weighted("s1", 1))
		odd.Routes = append(odd.Routes, more)
	}
	apply(odd, 10)
	if n := len(lines()); strings.Contains(lines(), `route="split"`) || n > 64<<10 {
		t.Errorf("%d bytes of counters, among them those of a route that is gone: %t", n, strings.Contains(lines(), `route="split"`))
	}
	apply(splitDocument(4, 1), 10)
	if lines() != "" {
		t.Errorf("counters without a split:\n%s", lines())
	}
}
