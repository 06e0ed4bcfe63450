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
	return []string{"present", "random", "two", "least", "even"}, map[string]func(seampeer.Peer, *rand.Rand) chooser{
		"present": func(p seampeer.Peer, r *rand.Rand) chooser {
			return seambalance.New(seambalance.Config{Random: r.Float64}, p, metrics.NewSet())
		},
		"even": func(p seampeer.Peer, r *rand.Rand) chooser {
			return seambalance.New(seambalance.Config{Policy: seambalance.Even, Random: r.Float64}, p, metrics.NewSet())
		},
		"random": draw(1),
		"two":    draw(2),
		"least":  draw(0),
	}
}

// TestPolicyComparison prints the table of all policies. It guards against a trial that shows no difference between them.
func TestPolicyComparison(t *testing.T) {
	nodes, loads := []int{60}, []float64{0.8}
	if testing.Verbose() {
		nodes, loads = []int{1, 10, 60, 300}, []float64{0.3, 0.6, 0.8, 0.95}
	}
	names, byName := policies()
	t.Logf("%6s %5s %6s %5s %-8s %8s %8s %6s %6s %7s %7s", "report", "nodes", "age", "load", "policy", "p50", "p99", "idle", "wasted", "busiest", "refused")
	for _, run := range trials(nodes, loads) {
		for _, name := range names {
			m := run.run(byName[name])
			t.Logf("%v %-8s %8v %8v %6.3f %6.3f %7.2f %7d", run, name,
				m.p50.Round(time.Millisecond), m.p99.Round(time.Millisecond), m.idle, m.wasted, m.busiest, m.refused)
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

// TestEvenSpreadsLoadByOldReports guards against a policy that herds: at each age the p99 wait and the slots wasted must be no
// higher than those of two random choices by the same reports.
func TestEvenSpreadsLoadByOldReports(t *testing.T) {
	_, byName := policies()
	const seeds = 4
	mean := func(run trial, policy string) (p99, wasted float64) {
		for seed := range uint64(seeds) {
			run.seed = seed + 1
			m := run.run(byName[policy])
			p99 += m.p99.Seconds() / seeds
			wasted += m.wasted / seeds
		}
		return p99, wasted
	}
	for _, run := range trials([]int{60}, []float64{0.8}) {
		p99, wasted := mean(run, "even")
		twoP99, twoWasted := mean(run, "two")
		t.Logf("%v: p99 %.3f s and wasted %.3f, two random choices %.3f s and %.3f", run, p99, wasted, twoP99, twoWasted)
		if p99 > twoP99 || wasted > twoWasted {
			t.Errorf("%v: p99 %.3f s and wasted %.3f, two random choices %.3f s and %.3f", run, p99, wasted, twoP99, twoWasted)
		}
	}
}

// TestEvenStaysNearWhileThereIsRoom guards against requests that leave their domain or region for targets that are only emptier.
func TestEvenStaysNearWhileThereIsRoom(t *testing.T) {
	_, byName := policies()
	for _, load := range []float64{0.3, 0.5, 0.8} {
		run := trial{nodes: 60, domains: 6, age: 500 * time.Millisecond, span: 35 * time.Second, load: load, seed: 1}
		even, present, two := run.run(byName["even"]), run.run(byName["present"]), run.run(byName["two"])
		t.Logf("load %.1f: other domain %.3f, other region %.3f, p99 %v, idle %.3f; present policy %.3f, %.3f, %v, %.3f; two random choices %.3f, %.3f, %v, %.3f", load,
			even.other, even.far, even.p99, even.wasted, present.other, present.far, present.p99, present.wasted, two.other, two.far, two.p99, two.wasted)
		if load <= 0.5 && even.far > 0.05+present.far {
			t.Errorf("load %.1f: %.3f of the requests ran in another region, %.3f by the present policy", load, even.far, present.far)
		}
	}
}
