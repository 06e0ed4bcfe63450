package seamrouter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomseam/internal/route/seamheader"
)

const (
	// poisonMark is the part of a path that makes a target crash when it begins to run the request.
	poisonMark = "crash"
	// targetDowntime is the time after which a crashed target starts again.
	targetDowntime = 400 * time.Millisecond
	// quarantineDelay is the time from the third crash by a request on after which nodes may send it to at most
	// maxLateRuns targets.
	quarantineDelay = 3 * time.Second
	maxLateRuns     = 3
	// repeatInterval is the time between two requests of a caller that repeats one through each node.
	repeatInterval = 250 * time.Millisecond
	// poisonDeadline is the deadline of the requests of a crashLab.
	poisonDeadline = time.Second
)

// crashLab is a fleet whose targets crash when they begin to run a request with poisonMark in its path, and start again as other
// incarnations at the same address.
type crashLab struct {
	*fleet

	mu sync.Mutex
	// crashes are the times of the crashes by the path of the request.
	crashes map[string][]time.Time
	// down are the targets that have crashed, by name.
	down     map[string]bool
	restarts sync.WaitGroup
	// staysDown makes targets that crash not start again.
	staysDown bool
	// healed makes the targets run marked requests too.
	healed bool
	// poisonBody, if set, is the body with which a marked request crashes targets; with another one it does not.
	poisonBody string
}

func newCrashLab(t *testing.T, services ...string) *crashLab {
	t.Helper()
	lab := &crashLab{fleet: newFleet(t), crashes: map[string][]time.Time{}, down: map[string]bool{}}
	lab.onRun = lab.run
	for i, service := range services {
		lab.add(fmt.Sprint("n", i), service)
	}
	t.Cleanup(lab.restarts.Wait)
	for _, n := range lab.nodes {
		lab.await("readiness", n.Ready)
	}
	return lab
}

// run crashes the target if the request is marked.
func (lab *crashLab) run(target string, r *http.Request) func() {
	if !strings.Contains(r.URL.Path, poisonMark) {
		return func() {}
	}
	if body, err := io.ReadAll(r.Body); err == nil && lab.poisonBody != "" && string(body) != lab.poisonBody {
		return func() {}
	}
	if !lab.crash(target, r.URL.Path) {
		return func() {}
	}
	panic(http.ErrAbortHandler)
}

// crash ends a target and starts it again later. path is that of the request that ends it. It reports false if targets are healed.
func (lab *crashLab) crash(target, path string) bool {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	if lab.healed {
		return false
	}
	if lab.down[target] {
		return true
	}
	lab.down[target] = true
	lab.crashes[path] = append(lab.crashes[path], time.Now())
	for _, n := range lab.nodes {
		if n.target.name == target {
			lab.end(n)
		}
	}
	return true
}

// end closes the target's connections and its listener. The caller holds mu.
func (lab *crashLab) end(n *node) {
	g := n.target
	_ = g.server.Listener.Close() // a second crash of the same incarnation finds it closed
	g.server.CloseClientConnections()
	if lab.staysDown {
		return
	}
	lab.restarts.Go(func() {
		time.Sleep(targetDowntime)
		lab.restartTarget(n)
	})
}

// restartTarget starts the target of a node as another incarnation at the same address.
func (lab *crashLab) restartTarget(n *node) {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	before := n.target
	next := &target{name: before.name + "x", service: before.service, started: time.Now().UnixMilli(), onRun: lab.run}
	listener, err := net.Listen("tcp", before.address())
	if err != nil {
		lab.t.Error(err)
		return
	}
	next.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: next}} //nolint:gosec // a test
	next.server.Start()
	lab.t.Cleanup(next.server.Close)
	lab.fleet.mu.Lock()
	lab.targets[next.address()] = next
	lab.fleet.mu.Unlock()
	n.target = next
	lab.announce(n, false)
}

// repeat sends a request through each node again and again, for a while. It does not wait for a response.
func (lab *crashLab) repeat(length time.Duration, send func(n *node)) {
	var sending sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(repeatInterval) {
		for _, n := range lab.nodes {
			sending.Go(func() { send(n) })
		}
	}
	sending.Wait()
}

// late returns the crashes by a path more than quarantineDelay after the third one, and the number of all.
func (lab *crashLab) late(path string) (late, all int) {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	times := lab.crashes[path]
	for i, at := range times {
		if i > 2 && at.Sub(times[2]) > quarantineDelay {
			late++
		}
	}
	return late, len(times)
}

// ask sends a request with an optional body, which is sent in chunks if chunked is true. It returns the status, 0 for no response.
func (lab *crashLab) ask(n *node, method, path, key, body string, chunked bool) int {
	var reader io.Reader = strings.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	r, err := http.NewRequest(method, "http://"+n.settings.Ingress+path, reader)
	if err != nil {
		lab.t.Error(err)
		return 0
	}
	r.Host = "visits.example"
	r.Header.Set(seamheader.Request, fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set(seamheader.Deadline, fmt.Sprint(poisonDeadline.Milliseconds()))
	if key != "" {
		r.Header.Set(seamheader.Key, key)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // the status is all that counts
	return res.StatusCode
}

func TestRequestThatCrashedThreeTargetsIsKeptFromFurtherOnes(t *testing.T) {
	plain := []string{plainService, plainService, plainService, plainService, plainService}
	for _, tt := range []struct {
		name, method, path, key, body string
		chunked                       bool
		services                      []string
	}{
		{name: "idempotent", method: http.MethodGet, path: poisonPath, services: plain},
		{name: "not idempotent", method: http.MethodPost, path: "/book/crash", services: plain},
		{name: "body with a length", method: http.MethodPost, path: "/book/crash", body: strings.Repeat("b", 1000), services: plain},
		{name: "body in chunks", method: http.MethodPost, path: "/book/crash", body: strings.Repeat("b", 1000), chunked: true, services: plain},
		{name: "keyed", method: http.MethodGet, path: "/slots/crash", key: "20000", services: []string{keyedService, keyedService, keyedService, plainService}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			lab := newCrashLab(t, tt.services...)
			if tt.key != "" {
				lab.awaitServed(lab.nodes[0])
			}
			lab.repeat(7*time.Second, func(n *node) { lab.ask(n, tt.method, tt.path, tt.key, tt.body, tt.chunked) })
			late, all := lab.late(tt.path)
			t.Logf("%d crashes, %d of them late", all, late)
			if all < 3 {
				t.Errorf("the request crashed %d targets, want 3 at least: the test shows nothing", all)
			}
			if late > maxLateRuns {
				t.Errorf("%d targets crashed more than %v after the third crash by the same request, want at most %d; %d crashed in all",
					late, quarantineDelay, maxLateRuns, all)
			}
		})
	}
}

// poisonPath is the path of an idempotent request with poisonMark.
const poisonPath = "/report/crash"

// quarantine sends a request with poisonPath through each node until it is quarantined at all of them, and returns its key.
func (lab *crashLab) quarantine() string {
	lab.t.Helper()
	lab.await("quarantine at all nodes", func() bool {
		quarantined := true
		for _, n := range lab.nodes {
			lab.ask(n, http.MethodGet, poisonPath, "", "", false)
			quarantined = quarantined && len(n.State(time.Now()).Poison) == 1
		}
		return quarantined
	})
	return lab.nodes[0].State(time.Now()).Poison[0].Key
}

// heal makes the targets run all requests.
func (lab *crashLab) heal() {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	lab.healed = true
}

func TestQuarantinedRequestIsRefusedAtOnceAndOthersAreServed(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService)
	lab.quarantine()
	start := time.Now()
	res, err := lab.send(lab.nodes[0], http.MethodGet, poisonPath, "")
	if err != nil || res.status != http.StatusServiceUnavailable || res.header.Get(seamheader.Reason) != "poison" || res.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, %v, want a refusal with the reason poison and a Retry-After", res, err)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	lab.await("service of another request", func() bool {
		return lab.ask(lab.nodes[1], http.MethodGet, "/report/other", "", "", false) == http.StatusOK
	})
}

func TestQuarantineOutlastsARestartOfAllNodes(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService)
	lab.quarantine()
	lab.restarts.Wait()
	for _, n := range lab.nodes {
		n.stop()
	}
	for _, n := range lab.nodes {
		lab.start(n)
	}
	for _, n := range lab.nodes {
		lab.await("readiness", n.Ready)
	}
	_, before := lab.late(poisonPath)
	lab.repeat(4*time.Second, func(n *node) { lab.ask(n, http.MethodGet, poisonPath, "", "", false) })
	if _, after := lab.late(poisonPath); after > before+1 {
		t.Errorf("%d targets crashed after the restart, want at most the one of a trial", after-before)
	}
}

func TestOperatorEndsAQuarantine(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService)
	key := lab.quarantine()
	lab.heal()
	if found, err := lab.nodes[0].ClearPoison(t.Context(), key); !found || err != nil {
		t.Fatalf("got %v, %v", found, err)
	}
	lab.await("service at all nodes", func() bool {
		for _, n := range lab.nodes {
			if lab.ask(n, http.MethodGet, poisonPath, "", "", false) != http.StatusOK {
				return false
			}
		}
		return true
	})
	if found, err := lab.nodes[0].ClearPoison(t.Context(), key); found || err != nil {
		t.Errorf("a quarantine that has ended: got %v, %v", found, err)
	}
}

func TestTrialThatIsAnsweredEndsTheQuarantine(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService)
	lab.quarantine()
	lab.heal()
	lab.await("end of the quarantine at all nodes", func() bool {
		for _, n := range lab.nodes {
			if lab.ask(n, http.MethodGet, poisonPath, "", "", false) != http.StatusOK || len(n.State(time.Now()).Poison) > 0 {
				return false
			}
		}
		return true
	})
}

// A target that closes connections and goes on running has lost responses, and has not crashed.
func TestLostResponsesQuarantineNothing(t *testing.T) {
	f := newFleet(t)
	f.onRun = func(string, *http.Request) func() { panic(http.ErrAbortHandler) }
	for i := range 4 {
		f.add(fmt.Sprint("n", i), plainService)
	}
	f.await("readiness", f.nodes[0].Ready)
	for range 20 {
		_, _ = f.send(f.nodes[0], http.MethodGet, "/report/lost", "")
	}
	for _, n := range f.nodes {
		if records := n.State(time.Now()).Poison; len(records) > 0 {
			t.Errorf("%s: %+v", n.settings.Name, records)
		}
	}
	if res, err := f.send(f.nodes[0], http.MethodGet, "/report/lost", ""); err != nil || res.status != http.StatusBadGateway {
		t.Errorf("got %+v, %v, want status 502", res, err)
	}
}

func TestOneRequestOfACallerCrashesAtMostTwoTargets(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService, plainService)
	lab.await("service", func() bool { return lab.ask(lab.nodes[0], http.MethodGet, "/report/1", "", "", false) == http.StatusOK })
	if status := lab.ask(lab.nodes[0], http.MethodGet, poisonPath, "", "", false); status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", status)
	}
	if _, all := lab.late(poisonPath); all == 0 || all > 2 {
		t.Errorf("one request crashed %d targets, want 1 or 2", all)
	}
}

func TestRequestWithAnotherBodyIsServedBesideAQuarantinedOne(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService)
	lab.poisonBody = "bad"
	lab.await("quarantine at all nodes", func() bool {
		quarantined := true
		for _, n := range lab.nodes {
			lab.ask(n, http.MethodPost, "/book/crash", "", "bad", false)
			quarantined = quarantined && len(n.State(time.Now()).Poison) == 1
		}
		return quarantined
	})
	for _, n := range lab.nodes {
		lab.await("service of another body", func() bool {
			return lab.ask(n, http.MethodPost, "/book/crash", "", "fit", false) == http.StatusOK
		})
	}
	if status := lab.ask(lab.nodes[0], http.MethodPost, "/book/crash", "", "bad", false); status != http.StatusServiceUnavailable {
		t.Errorf("the quarantined body: got status %d, want 503", status)
	}
}

// Each node beside a target sees one crash only.
func TestCrashesAtThreeNodesQuarantineARequestAtAllNodes(t *testing.T) {
	lab := newCrashLab(t, plainService, plainService, plainService, plainService, plainService)
	lab.staysDown = true
	lab.await("three crashes", func() bool {
		lab.ask(lab.nodes[0], http.MethodPost, "/book/crash", "", "", false)
		_, all := lab.late("/book/crash")
		return all == 3
	})
	third := time.Now()
	lab.await("quarantine at all nodes", func() bool {
		for _, n := range lab.nodes {
			if len(n.State(time.Now()).Poison) != 1 {
				return false
			}
		}
		return true
	})
	if took := time.Since(third); took > quarantineDelay {
		t.Errorf("all nodes quarantine the request %v after its third crash, want at most %v", took, quarantineDelay)
	}
}
