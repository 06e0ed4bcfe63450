package seamingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seamsession"
	"cardamomseam/internal/rule/seamrule"
)

// fakeRules returns the same decision for every request, except that keyed decides, if set, which ones have a key.
type fakeRules struct {
	decision seamrule.Decision
	keyed    func(r *http.Request) bool
	// decide, if set, makes the decisions instead.
	decide func(r *http.Request) (seamrule.Decision, error)
	err    error
}

func (f *fakeRules) Decide(r *http.Request, _, _ string) (seamrule.Decision, error) {
	if f.decide != nil {
		return f.decide(r)
	}
	d := f.decision
	if f.keyed != nil {
		d.Keyed = f.keyed(r)
	}
	return d, f.err
}

// fakeDirectory returns fixed candidates and one owner for all slots.
type fakeDirectory struct {
	mu      sync.Mutex
	owner   seampeer.Peer
	learned []seampeer.Peer
	// keepOwner means that Learn does not change the owner.
	keepOwner  bool
	candidates []seampick.Candidate
	// byService, if set, has the candidates of each service instead.
	byService map[string][]seampick.Candidate
}

func (f *fakeDirectory) Owner(string, uint32) (seampeer.Peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner, !f.owner.Zero()
}

func (f *fakeDirectory) Learn(_ string, _ uint32, p seampeer.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.keepOwner {
		f.owner = p
	}
	f.learned = append(f.learned, p)
}

func (f *fakeDirectory) setOwner(p seampeer.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = p
}

func (f *fakeDirectory) Candidates(service string) []seampick.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService != nil {
		return f.byService[service]
	}
	return f.candidates
}

// fakeOwners grants every slot unless otherOwner is set.
type fakeOwners struct {
	clock         *seamclock.Clock
	mu            sync.Mutex
	otherOwner    string
	leaseDuration time.Duration
	// acquireCalls counts the calls of Acquire. The first otherOwnerCalls of them name otherOwner, if it is set, as
	// the owner; 0 means all calls.
	acquireCalls, otherOwnerCalls int
	// leaseExpired is true if the lease on every slot has expired.
	leaseExpired bool
}

func (f *fakeOwners) Acquire(_ context.Context, id seamslot.ID) (seamgrant.Grant, func(), error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquireCalls++
	if f.leaseExpired {
		return seamgrant.Grant{}, nil, &seamgrant.NotOwnerError{Slot: id, LeaseExpired: true}
	}
	if f.otherOwner != "" && (f.otherOwnerCalls == 0 || f.acquireCalls <= f.otherOwnerCalls) {
		return seamgrant.Grant{}, nil, &seamgrant.NotOwnerError{Slot: id, Owner: f.otherOwner}
	}
	return seamgrant.Grant{Slot: id, Epoch: 7, ExpiresAt: f.clock.Now().Add(f.leaseDuration)}, func() {}, nil
}

func (f *fakeOwners) Held(seamslot.ID, uint64) (seamclock.Instant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Add(f.leaseDuration), f.otherOwner == ""
}

// fakeTarget returns the announcement that a test sets.
type fakeTarget struct {
	mu        sync.Mutex
	announced seamtarget.Announcement
}

func (f *fakeTarget) Current() (seamtarget.Announcement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced, f.announced.Address != ""
}

// node is a node with its target, if it has one.
type node struct {
	peer      seampeer.Peer
	pool      *seamsession.Pool
	closePool func()
	egress    *seamegress.Egress
	ingress   *seamingress.Ingress
	owners    *fakeOwners
	target    *fakeTarget
	rules     *fakeRules
	directory *fakeDirectory
	server    *seamingress.Server
}

// url returns the URL of the path at the node's ingress.
func (n *node) url(path string) string {
	return "http://" + n.server.Address() + path
}

func newNode(t testing.TB, name string, handler http.HandlerFunc) *node {
	t.Helper()
	return newNodeWith(t, name, handler, seamsession.Config{})
}

// newNodeWithBodyLimit starts a node that accepts bodies of at most the given number of bytes.
func newNodeWithBodyLimit(t testing.TB, limit int64, handler http.HandlerFunc) *node {
	t.Helper()
	n := startNode(t, "one", handler, seamsession.Config{}, seamingress.Config{MaxBodyBytes: limit})
	n.directory.candidates = []seampick.Candidate{{Peer: n.peer, Slots: 32}}
	return n
}

// newNodeWith starts a node with the session settings.
func newNodeWith(t testing.TB, name string, handler http.HandlerFunc, sessions seamsession.Config) *node {
	t.Helper()
	return startNode(t, name, handler, sessions, seamingress.Config{})
}

// startNode starts a node with the settings. It has a target if handler is not nil.
func startNode(t testing.TB, name string, handler http.HandlerFunc, sessions seamsession.Config, cfg seamingress.Config) *node {
	t.Helper()
	return startNodeIn(t, "ost", name, handler, sessions, cfg)
}

// startNodeIn starts a node in the region as startNode does.
func startNodeIn(t testing.TB, region, name string, handler http.HandlerFunc, sessions seamsession.Config, cfg seamingress.Config) *node {
	t.Helper()
	if sessions.Listener == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sessions.Listener = l
	}
	l := sessions.Listener
	peer := seampeer.Peer{Name: name, Incarnation: 1, Address: l.Addr().String(), Region: region, Domain: region + "-1"}
	n := &node{
		peer:      peer,
		owners:    &fakeOwners{clock: seamclock.NewClock(), leaseDuration: time.Minute},
		target:    &fakeTarget{},
		rules:     &fakeRules{decision: seamrule.Decision{Limits: seamrule.Limits{DeadlineMillis: 2000, QueueLength: 64}}},
		directory: &fakeDirectory{},
	}
	if handler != nil {
		target := httptest.NewServer(handler)
		t.Cleanup(target.Close)
		n.target.announced = seamtarget.Announcement{
			Service:        "booker",
			Name:           name + "-target",
			Address:        target.Listener.Addr().String(),
			MaxConcurrency: 32,
		}
	}
	set, events := metrics.NewSet(), seamevent.NewStream(name)
	pool, closePool, err := seamsession.New(sessions, peer, set, events)
	if err != nil {
		t.Fatal(err)
	}
	n.closePool = sync.OnceFunc(closePool)
	t.Cleanup(n.closePool)
	n.pool = pool
	egress, closeEgress := seamegress.New(seamegress.Config{}, peer, n.owners, n.target, n.owners.clock, seamsketch.NewUsage(16, time.Minute, time.Minute), set, events)
	t.Cleanup(closeEgress)
	n.egress = egress
	pool.Register(seamsession.Request, egress)
	pool.Register(seamsession.Void, seamegress.VoidHandler{Egress: egress})
	cfg.Address = "127.0.0.1:0"
	n.ingress = seamingress.New(cfg, peer, n.rules, n.directory, pool, egress, set, events)
	if n.server, err = n.ingress.Serve(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.server.Close() })
	return n
}

// pair starts a node without a target (front), which routes to a node with a target (back).
func pair(t testing.TB, handler http.HandlerFunc) (front, back *node) {
	t.Helper()
	back = newNode(t, "back", handler)
	front = newNode(t, "front", nil)
	front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
	return front, back
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func do(t testing.TB, r *http.Request) result {
	t.Helper()
	r.Header.Set("Seam-Service", "booker")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}
