package seamcell_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamgrant"
	"cardamomseam/internal/own/seamslot"
)

const (
	tick      = 50 * time.Millisecond
	service   = "calendar"
	slotCount = 8
)

// simulation runs the state machines of several nodes against a simulated network and store.
type simulation struct {
	// lastPlacement is the input of the latest plan.
	lastPlacement seamcell.PlacementView
	// plans is the number of plans, unmeasured the number of slots without load in them.
	plans, unmeasured int
	t                 testing.TB
	rnd               *rand.Rand
	now               time.Duration
	events            eventQueue
	count             int
	nodes             []*node
	store             fakeStore
	cfg               seamcell.Config
	regions           []string
	// loss and duplicate are probabilities; delay is the maximum delay of a datagram.
	loss, duplicate float64
	delay           time.Duration
	blocked         map[[2]string]bool
	highest         map[seamslot.ID]uint64
	holder          map[seamslot.ID]string
	violation       string
	// targetsOutliveNodes says that targets keep running beside a node that has ended and started
	// again.
	targetsOutliveNodes bool
	// filter, if set, returns the additional delay of a datagram, or a negative value to drop it.
	filter  func(from, to string, m *seamcellwire.Message) time.Duration
	trace   func(string, ...any)
	bytes   map[string]int
	emitted map[string]int
	// noHomes says that the service has no home regions and that parts of ranges follow their
	// callers.
	noHomes bool
	// planRange returns the part of a range that moves to its callers. If it is nil, no part
	// moves.
	planRange func(v seamcell.RangeView) (seamcell.RangeMove, bool)
}

type event struct {
	at  time.Duration
	n   int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].n < q[j].n
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fakeStore is a store with compare-and-swap that can be unavailable or lose responses.
type fakeStore struct {
	revision int64
	entries  map[string]seamcell.Entry
	down     bool
	// unknown is the probability that the response to a write is lost.
	unknown float64
	// loseResponses names the nodes that receive no responses to their writes, unreachable those
	// whose calls all fail.
	loseResponses, unreachable map[string]bool
	// slow is the additional duration of a node's writes.
	slow   map[string]time.Duration
	writes int
}

// node is one incarnation of an instance.
type node struct {
	w      *simulation
	peer   seampeer.Peer
	cell   *seamcell.Cell
	name   string
	alive  bool
	paused bool
	// failHandovers says that handovers of the node's target fail.
	failHandovers bool
	waiting       []func()
	started       time.Duration
	rate          float64
	offset        time.Duration
	// stopped is the time for which the monotonic clock stood still.
	stopped time.Duration
	frozen  time.Duration
	// clockSetBack says that the wall clock was set back.
	clockSetBack bool
	synced       map[seamslot.ID]string
	target       seamcell.TargetState
	// retained holds the tokens under which the node's target last served slots. It outlives the
	// node.
	retained map[seamslot.ID]uint64
	// hangHandovers says that the target never finishes a handover.
	hangHandovers bool
	serving       map[seamslot.ID]uint64
}

func simulationConfig() seamcell.Config {
	cfg := seamcell.DefaultConfig()
	cfg.RecordTTL = 12 * time.Second
	cfg.SettleDelay = time.Second
	cfg.MinPublishInterval = time.Second
	cfg.OrphanTimeout = 4 * time.Second
	cfg.ReturnTimeout = 4 * time.Second
	cfg.MinTransferSlots = 2
	return cfg
}

func newSimulation(t testing.TB, seed int64, n int) *simulation {
	return newSimulationOf(t, seed, n, simulationConfig(), []string{"erie"})
}

// newSimulationOf returns a simulation whose nodes are distributed over the regions in turn, with
// two failure domains per region.
func newSimulationOf(t testing.TB, seed int64, n int, cfg seamcell.Config, regions []string) *simulation {
	w := emptySimulation(t, seed, cfg, regions)
	w.startNodes(n)
	return w
}

// startNodes starts n nodes.
func (w *simulation) startNodes(n int) {
	for i := range n {
		w.start(i, fmt.Sprintf("n%d", i))
	}
}

func emptySimulation(t testing.TB, seed int64, cfg seamcell.Config, regions []string) *simulation {
	return &simulation{
		t: t, rnd: rand.New(rand.NewSource(seed)), cfg: cfg, regions: regions, delay: 4 * time.Millisecond,
		blocked: map[[2]string]bool{}, highest: map[seamslot.ID]uint64{}, holder: map[seamslot.ID]string{},
		store: fakeStore{entries: map[string]seamcell.Entry{}, loseResponses: map[string]bool{}, unreachable: map[string]bool{}, slow: map[string]time.Duration{}}, trace: func(string, ...any) {},
		bytes: map[string]int{}, emitted: map[string]int{},
	}
}

// Plan implements seamcell.Placer and records its input.
func (w *simulation) Plan(now seamclock.Instant, v seamcell.PlacementView) []seamcell.Move {
	w.lastPlacement = v
	w.plans++
	for _, s := range v.Slots {
		if s.Rate == 0 {
			w.unmeasured++
		}
	}
	return seamcell.EvenPlacer{}.Plan(now, v)
}

// PlanRange implements seamcell.RangePlacer.
func (w *simulation) PlanRange(_ seamclock.Instant, v seamcell.RangeView) (seamcell.RangeMove, bool) {
	if w.planRange == nil {
		return seamcell.RangeMove{}, false
	}
	return w.planRange(v)
}

// homeRegions returns the home regions of the service.
func (w *simulation) homeRegions() []string {
	if w.noHomes {
		return nil
	}
	return w.regions
}

func (w *simulation) schedule(d time.Duration, f func()) {
	w.count++
	heap.Push(&w.events, event{at: w.now + d, n: w.count, run: f})
}

// start starts a new incarnation of the instance with the index. The index len(nodes) adds an
// instance.
func (w *simulation) start(i int, name string) {
	region := w.regions[i%len(w.regions)]
	w.startNode(i, name, region, fmt.Sprintf("%s-%d", region, i/len(w.regions)%2))
}

// startIn adds a node in the failure domain.
func (w *simulation) startIn(name, domain string) {
	w.startNode(len(w.nodes), name, w.regions[0], domain)
}

func (w *simulation) startNode(i int, name, region, domain string) {
	n := &node{
		w: w, alive: true, started: w.now, rate: 1 + (w.rnd.Float64()-0.5)/500,
		offset: time.Duration(w.rnd.Int63n(int64(time.Hour))), synced: map[seamslot.ID]string{}, serving: map[seamslot.ID]uint64{}, retained: map[seamslot.ID]uint64{},
		peer: seampeer.Peer{
			Name: name, Incarnation: uint64(w.count+1) + 1_795_000_000_000_000_000, Address: "10.0.0." + name[1:] + ":1",
			Region: region, Domain: domain,
		},
	}
	n.target = seamcell.TargetState{
		Service: service, Name: fmt.Sprintf("%s-run%d", name, w.count), Address: "10.1.0." + name[1:] + ":1",
		Concurrency: 12, Standby: i%3 != 2, Fence: true,
	}
	n.name = n.peer.String()
	if w.targetsOutliveNodes && i < len(w.nodes) {
		w.keepTarget(n, w.nodes[i])
	}
	n.cell = seamcell.New(w.cfg, n.peer, w)
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	n.act(func(now seamclock.Instant) []seamcell.Action {
		a := n.cell.UpdateService(now, seamcell.ServiceState{Name: service, Slots: slotCount, HomeRegions: w.homeRegions(), MaxDeadline: 300 * time.Millisecond})
		a = append(a, n.cell.RulesApplied(now, 1)...)
		return append(a, n.cell.UpdateTarget(now, n.target)...)
	})
	n.loadDirectory()
	w.schedule(time.Duration(w.rnd.Int63n(int64(tick))), n.tick)
}

// keepTarget attaches the target of a node's previous incarnation to its new one.
func (w *simulation) keepTarget(n, before *node) {
	n.target = before.target
	n.target.RetainedSlots = nil
	for id, token := range before.retained {
		n.retained[id] = token
		n.target.RetainedSlots = append(n.target.RetainedSlots, seamcell.RetainedSlot{Slot: id, Epoch: token})
	}
}

func (n *node) clock() seamclock.Instant {
	elapsed := time.Duration(float64(n.w.now-n.started) * n.rate)
	stopped := n.stopped
	if n.paused && n.frozen > 0 {
		stopped += n.w.now - n.frozen
	}
	return seamclock.Instant{Mono: elapsed - stopped, Wall: elapsed + n.offset + 1000*time.Hour}
}

// act runs f now or, if the node is paused, when it resumes.
func (n *node) act(f func(seamclock.Instant) []seamcell.Action) {
	if !n.alive {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, func() { n.act(f) })
		return
	}
	for _, a := range f(n.clock()) {
		n.perform(a)
	}
	n.w.check()
}

func (n *node) tick() {
	if !n.alive {
		return
	}
	if !n.paused {
		n.act(n.cell.Tick)
		if n.w.rnd.Intn(4) == 0 {
			n.announce()
		}
	}
	n.w.schedule(tick, n.tick)
}

// announce reports the slots that have been copied to their standbys.
func (n *node) announce() {
	n.target.SyncedSlots = nil
	for i := range uint32(slotCount) {
		id := seamslot.ID{Service: service, Index: i}
		if s := n.synced[id]; s != "" {
			n.target.SyncedSlots = append(n.target.SyncedSlots, seamcell.SyncedSlot{Slot: id, StandbyAddress: s})
		}
	}
	n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateTarget(now, n.target) })
}

func (n *node) loadDirectory() {
	if n.w.store.down {
		n.w.schedule(200*time.Millisecond, n.loadDirectory)
		return
	}
	var entries []seamcell.Entry
	for _, e := range n.w.store.entries {
		entries = append(entries, e)
	}
	n.w.schedule(n.w.latency(), func() {
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateRecords(now, entries) })
	})
}

func (w *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int63n(int64(w.delay)))
}

func (n *node) perform(a seamcell.Action) {
	w := n.w
	switch a := a.(type) {
	case seamcell.Send:
		w.send(n, a)
	case seamcell.CompareAndSwap:
		n.write(a.ID, a.Key, a.Expect, seamcell.Entry{Key: a.Key, Record: a.Record})
	case seamcell.Remove:
		n.write(a.ID, a.Key, a.Expect, seamcell.Entry{Key: a.Key, Deleted: true})
	case seamcell.Read:
		n.read(a)
	case seamcell.Serve:
		n.serving[a.Slot] = a.Epoch
		n.retained[a.Slot] = a.Epoch
		n.synced[a.Slot] = ""
		if a.StandbyAddress != "" {
			w.schedule(20*time.Millisecond, func() { n.synced[a.Slot] = a.StandbyAddress })
		}
	case seamcell.StopServing:
		delete(n.serving, a.Slot)
		if a.Graceful && !n.hangHandovers {
			w.schedule(w.latency(), func() {
				n.act(func(now seamclock.Instant) []seamcell.Action {
					if n.failHandovers {
						return n.cell.HandoverFailed(now, a.Slot)
					}
					delete(n.retained, a.Slot)
					return n.cell.SlotReleased(now, a.Slot)
				})
			})
		}
	case seamcell.Fetch:
		n.fetch(a)
	case seamcell.Emit:
		w.emitted[a.Name]++
		w.trace("%v %s %s %v", w.now, n.peer, a.Name, a.Fields)
		if a.Name == seamevent.InvariantBroken {
			w.fail("%s reported %v", n.peer, a.Fields)
		}
	}
}

func (w *simulation) send(n *node, a seamcell.Send) {
	data, err := proto.Marshal(a.Message)
	if err != nil {
		w.fail("marshal: %v", err)
	}
	if len(data) > w.cfg.MaxDatagramBytes {
		w.fail("datagram of %d bytes from %s", len(data), n.peer)
	}
	w.bytes[n.peer.Name+">"] += w.wire(a.Message)
	copies := 1
	if w.rnd.Float64() < w.duplicate {
		copies = 2
	}
	late := time.Duration(0)
	if w.filter != nil {
		if late = w.filter(n.peer.Name, a.To.Name, a.Message); late < 0 {
			return
		}
	}
	for range copies {
		if w.rnd.Float64() < w.loss || w.blocked[[2]string{n.peer.Name, a.To.Name}] {
			continue
		}
		w.schedule(late+w.latency(), func() { w.receive(a.To, data) })
	}
}

// wire returns the size of a datagram whose receiver knows the preamble, including the headers of
// IP and UDP, the kind and the tag.
func (w *simulation) wire(m *seamcellwire.Message) int {
	_, rest, err := seamcellwire.Split(m)
	if err != nil {
		w.fail("split: %v", err)
	}
	return 28 + 1 + 4 + len(rest)
}

func (w *simulation) receive(to seampeer.Peer, data []byte) {
	for _, n := range w.nodes {
		if n.peer.Address != to.Address || !n.alive {
			continue
		}
		var m seamcellwire.Message
		if err := proto.Unmarshal(data, &m); err != nil {
			w.fail("unmarshal: %v", err)
		}
		w.bytes[n.peer.Name+"<"] += w.wire(&m)
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.Receive(now, &m) })
	}
}

func (n *node) stored(r seamcell.StoreResult) {
	n.w.schedule(n.w.latency(), func() {
		n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.StoreCompleted(now, r) })
	})
}

func (n *node) read(a seamcell.Read) {
	n.w.schedule(n.w.latency(), func() {
		if n.w.store.down {
			n.stored(seamcell.StoreResult{ID: a.ID, Outcome: seamcell.Unavailable})
			return
		}
		e := n.w.store.entries[a.Key]
		e.Key = a.Key
		n.stored(seamcell.StoreResult{ID: a.ID, Outcome: seamcell.OK, Entry: e})
	})
}

// write applies a write. Its response may be lost, and it may take effect late.
func (n *node) write(id uint64, key string, expect int64, e seamcell.Entry) {
	w := n.w
	wait := w.latency() + w.store.slow[n.peer.Name]
	lost := w.rnd.Float64() < w.store.unknown
	if lost && w.rnd.Intn(2) == 0 {
		n.stored(seamcell.StoreResult{ID: id, Outcome: seamcell.Unknown})
		wait += time.Duration(w.rnd.Int63n(int64(2 * time.Second)))
		w.schedule(wait, func() { w.apply(key, expect, e) })
		return
	}
	w.schedule(wait, func() {
		if w.store.down || w.store.unreachable[n.peer.Name] {
			n.stored(seamcell.StoreResult{ID: id, Outcome: seamcell.Unavailable})
			return
		}
		r := w.apply(key, expect, e)
		r.ID = id
		if lost || w.store.loseResponses[n.peer.Name] {
			r = seamcell.StoreResult{ID: id, Outcome: seamcell.Unknown}
		}
		n.stored(r)
	})
}

func (w *simulation) apply(key string, expect int64, e seamcell.Entry) seamcell.StoreResult {
	if w.store.down {
		return seamcell.StoreResult{Outcome: seamcell.Unavailable}
	}
	found, ok := w.store.entries[key]
	revision := found.Revision
	if !ok || found.Deleted {
		revision = 0
	}
	if revision != expect {
		found.Key = key
		if revision == 0 {
			found = seamcell.Entry{Key: key}
		}
		return seamcell.StoreResult{Outcome: seamcell.Conflict, Entry: found}
	}
	if ok && !found.Deleted && e.Record.Epoch < found.Record.Epoch && !e.Deleted {
		w.fail("epoch of %s decreased from %d to %d", key, found.Record.Epoch, e.Record.Epoch)
	}
	w.store.writes++
	w.store.revision++
	e.Revision = w.store.revision
	w.store.entries[key] = e
	w.trace("%v store %s rev %d epoch %d coordinator %s backup %s ranges %v transfers %v received %v", w.now, key, e.Revision, e.Record.Epoch, e.Record.Coordinator, e.Record.Backup, e.Record.Ranges, e.Record.Transfers, e.Record.ReceivedTransfers)
	for _, n := range w.nodes {
		role := n.cell.View(n.clock()).Role
		if w.store.loseResponses[n.peer.Name] {
			continue
		}
		if role == seamcell.RoleCoordinator || role == seamcell.RoleNone || role == seamcell.RoleJoining {
			w.schedule(w.latency(), func() {
				n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateRecords(now, []seamcell.Entry{e}) })
			})
		}
	}
	return seamcell.StoreResult{Outcome: seamcell.OK, Entry: e}
}

func (n *node) fetch(a seamcell.Fetch) {
	if a.Kind != seamcell.FetchDirectory {
		return
	}
	if a.From.Zero() {
		n.loadDirectory()
		return
	}
	for _, o := range n.w.nodes {
		if o.peer.Same(a.From) && o.alive && !o.paused && !n.w.blocked[[2]string{n.peer.Name, o.peer.Name}] {
			entries := o.cell.Records()
			n.w.schedule(n.w.latency(), func() {
				n.act(func(now seamclock.Instant) []seamcell.Action { return n.cell.UpdateRecords(now, entries) })
			})
		}
	}
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// check checks that each slot has at most one holder at the current simulated time, and that epochs
// increase with each change of owner.
func (w *simulation) check() {
	holders := map[seamslot.ID]string{}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		now := n.clock()
		if _, ok := n.cell.Lease(now); !ok {
			continue
		}
		for i := range uint32(slotCount) {
			id := seamslot.ID{Service: service, Index: i}
			if g, ok := n.cell.Grant(now, id); ok {
				w.checkHolder(holders, n, g)
			}
		}
	}
}

func (w *simulation) checkHolder(holders map[seamslot.ID]string, n *node, g seamgrant.Grant) {
	id := g.Slot
	if first := holders[id]; first != "" {
		w.fail("%s is held by %s and %s", id, first, n.peer)
	}
	holders[id] = n.name
	changed := w.holder[id] != n.name
	if g.Epoch < w.highest[id] || changed && g.Epoch == w.highest[id] && w.holder[id] != "" {
		w.fail("%s is held by %s under epoch %d after %s had %d", id, n.name, g.Epoch, w.holder[id], w.highest[id])
	}
	w.highest[id] = g.Epoch
	w.holder[id] = n.name
}

// run advances time until the end or the first violated invariant.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// held returns the number of slots that a live node holds.
func (w *simulation) held() int {
	count := 0
	for i := range uint32(slotCount) {
		id := seamslot.ID{Service: service, Index: i}
		for _, n := range w.nodes {
			if _, ok := n.cell.Grant(n.clock(), id); ok && n.alive && !n.paused {
				count++
				break
			}
		}
	}
	return count
}

// runUntilHeld runs until all slots are held and returns how long that took.
func (w *simulation) runUntilHeld(limit time.Duration) time.Duration {
	begin := w.now
	for w.now < begin+limit && w.violation == "" && w.held() < slotCount {
		w.run(10 * time.Millisecond)
	}
	return w.now - begin
}

func (n *node) crash() { n.alive = false }

// pause stops the process. The monotonic clock of a suspended machine stands still too.
func (n *node) pause(suspended bool) {
	n.paused = true
	n.frozen = 0
	if suspended {
		n.frozen = n.w.now
	}
}

func (n *node) resume() {
	if !n.paused {
		return
	}
	if n.frozen > 0 {
		n.stopped += n.w.now - n.frozen
	}
	n.paused = false
	waiting := n.waiting
	n.waiting = nil
	n.w.rnd.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, f := range waiting {
		f()
	}
}

// coordinator returns the live coordinator of a cell, or nil.
func (w *simulation) coordinator() *node {
	for _, n := range w.nodes {
		if v := n.cell.View(n.clock()); n.alive && v.Role == seamcell.RoleCoordinator && !v.AuthorityExpiresAt.Zero() && !seamclock.Expired(n.clock(), v.AuthorityExpiresAt) {
			return n
		}
	}
	return nil
}

// backup returns the backup named in the coordinator's record, or nil.
func (w *simulation) backup() *node {
	c := w.coordinator()
	if c == nil {
		return nil
	}
	b := c.cell.View(c.clock()).Backup
	for _, n := range w.nodes {
		if n.peer.Same(b) {
			return n
		}
	}
	return nil
}
