package seambalance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

// chooser is a policy as one node runs it.
type chooser interface {
	Pick(now time.Time, all []seampick.Candidate, q seambalance.Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool)
	Sent(now time.Time, peer seampeer.Peer)
	Ended(now time.Time, peer seampeer.Peer, r seambalance.Result) bool
}

// baseline picks the candidate with the least known load among draws random ones; 0 means all of them.
type baseline struct {
	draws  int
	random *rand.Rand
	own    map[string]int
	// rest is the last reported load of a target without the requests of this node.
	rest map[string]int
}

func (b *baseline) Pick(_ time.Time, all []seampick.Candidate, _ seambalance.Query, skip func(seampeer.Peer) bool) (seampick.Candidate, bool) {
	order := b.random.Perm(len(all))
	order = slices.DeleteFunc(order, func(i int) bool { return skip != nil && skip(all[i].Peer) })
	if b.draws > 0 {
		order = order[:min(b.draws, len(order))]
	}
	if len(order) == 0 {
		return seampick.Candidate{}, false
	}
	load := func(i int) int { return b.rest[all[i].Peer.Name] + b.own[all[i].Peer.Name] }
	return all[slices.MinFunc(order, func(i, j int) int { return load(i) - load(j) })], true
}

func (b *baseline) Sent(_ time.Time, p seampeer.Peer) { b.own[p.Name]++ }

func (b *baseline) Ended(_ time.Time, p seampeer.Peer, r seambalance.Result) bool {
	b.own[p.Name]--
	if r.Reported {
		b.rest[p.Name] = max(r.InFlight-b.own[p.Name], 0)
	}
	return false
}

// policies returns the constructor of each policy by name, in the order of the table.
func policies() (names []string, byName map[string]func(seampeer.Peer, *rand.Rand) chooser) {
	draw := func(n int) func(seampeer.Peer, *rand.Rand) chooser {
		return func(_ seampeer.Peer, r *rand.Rand) chooser {
			return &baseline{draws: n, random: r, own: map[string]int{}, rest: map[string]int{}}
		}
	}
	return []string{"present", "random", "two", "least"}, map[string]func(seampeer.Peer, *rand.Rand) chooser{
		"present": func(p seampeer.Peer, r *rand.Rand) chooser {
			return seambalance.New(seambalance.Config{Random: r.Float64}, p, metrics.NewSet())
		},
		"random": draw(1),
		"two":    draw(2),
		"least":  draw(0),
	}
}

// TestPicture prints the table of all policies. It guards against a trial that shows no difference between them.
func TestPicture(t *testing.T) {
	nodes, loads := []int{60}, []float64{0.8}
	if testing.Verbose() {
		nodes, loads = []int{1, 10, 60, 300}, []float64{0.3, 0.6, 0.8, 0.95}
	}
	names, byName := policies()
	t.Logf("%6s %5s %6s %5s %-8s %8s %8s %6s %7s %7s", "report", "nodes", "age", "load", "policy", "p50", "p99", "idle", "busiest", "refused")
	for _, run := range trials(nodes, loads) {
		for _, name := range names {
			m := run.run(byName[name])
			t.Logf("%v %-8s %8v %8v %6.3f %7.2f %7d", run, name,
				m.p50.Round(time.Millisecond), m.p99.Round(time.Millisecond), m.idle, m.busiest, m.refused)
			if math.IsNaN(m.busiest) || m.busiest < 1 {
				t.Errorf("%v with %s: busiest target has %v times the mean", run, name, m.busiest)
			}
		}
	}
}

// String returns the first columns of the table.
func (t trial) String() string {
	kind := "own"
	if t.shared {
		kind = "shared"
	}
	return fmt.Sprintf("%6s %5d %6v %5.2f", kind, t.nodes, t.age, t.load)
}

// trials returns the trials of the table.
func trials(nodes []int, loads []float64) []trial {
	var all []trial
	for _, shared := range []bool{false, true} {
		for _, n := range nodes {
			for _, age := range []time.Duration{50, 500, 2000, 5000} {
				for _, load := range loads {
					all = append(all, trial{nodes: n, domains: 1, shared: shared, age: age * time.Millisecond, span: 35 * time.Second, load: load, seed: 1})
				}
			}
		}
	}
	return all
}
