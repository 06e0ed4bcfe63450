package seamskew

import (
	"fmt"
	"time"

	"cardamomseam/internal/observe/seammeasure"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/own/seamslot"
)

const (
	// detectionDelay is the time from the loss of a server until its slots may be granted to others.
	detectionDelay = 1400 * time.Millisecond
	// absenceDuration is the time until a lost server returns.
	absenceDuration = 2 * time.Minute
	// sampleSeconds is the length of a load sample, in seconds.
	sampleSeconds = 10
	// targetConcurrency is the number of requests that a server runs concurrently.
	targetConcurrency = 12
)

// planFunc is a placement policy. It returns the slots to move now.
type planFunc func(now seamclock.Instant, v seamplace.View) []seamplace.Move

// fleet simulates servers and slots with one placement policy.
type fleet struct {
	config   Config
	policy   string
	planFunc planFunc
	view     seamplace.View
	// moveDelays is a configuration of which only the durations are used for which a moved slot is not
	// served.
	moveDelays seamplace.Config
	// lostServer is the name of the lost server, or empty.
	lostServer string
	// returnsAt is the time at which the lost server returns.
	returnsAt seamclock.Instant
	losses    int
	// grantableAt is the time by which other servers have been granted the slots of the last lost server.
	grantableAt seamclock.Instant
	// elapsedSeconds is the simulated time since the start.
	elapsedSeconds int
	// requests counts the requests since the last sample by server.
	requests map[string]float64
	meter    *seammeasure.Meter
}

func newFleet(c Config, policy string, plan planFunc, weights seamplace.Config) *fleet {
	f := &fleet{
		config:     c,
		policy:     policy,
		planFunc:   plan,
		moveDelays: seamplace.DefaultConfig(),
		requests:   map[string]float64{},
		meter:      seammeasure.NewMeter(c.Keys),
		view:       seamplace.View{Config: weights},
	}
	for i := range c.Slots {
		id := seamslot.ID{Service: "calendar", Index: uint32(i)}
		f.view.Slots = append(f.view.Slots, seamplace.Slot{ID: id})
	}
	return f
}

// serverName returns the name of server i, for example erie-a-0 in failure domain erie-a.
func serverName(i int) string {
	return fmt.Sprintf("erie-%c-%d", 'a'+rune(i%2), i)
}

// members returns the live servers.
func (f *fleet) members() []seamplace.Member {
	var members []seamplace.Member
	for i := range f.config.Servers {
		name := serverName(i)
		if name == f.lostServer {
			continue
		}
		members = append(members, seamplace.Member{
			Name:            name,
			Domain:          name[:len("erie-a")],
			Region:          "erie",
			Capacity:        targetConcurrency,
			SupportsStandby: true,
		})
	}
	return members
}

// step simulates one second: it counts the requests, loses or restores a server, and runs the policy if
// a plan is due or a server was lost.
func (f *fleet) step(t *trace) {
	f.elapsedSeconds++
	f.countRequests(t)
	lost := f.loseServer(t.now)
	f.restoreServer(t.now)
	due := f.elapsedSeconds%int(f.config.PlanInterval/time.Second) == 0 && seamclock.Expired(t.now, f.grantableAt)
	if due || lost || f.elapsedSeconds == 1 {
		f.plan(t, lost)
	}
}

// count adds the requests of the last second to the owners of their slots.
func (f *fleet) countRequests(t *trace) {
	for i := range f.view.Slots {
		s := &f.view.Slots[i]
		s.Rate = t.rates.Rate(s.ID.Index)
		f.meter.SetSlotRate(wallTime(t.now), s.ID, s.Rate)
		f.requests[s.Owner] += t.counts[s.ID.Index]
	}
	if f.elapsedSeconds%sampleSeconds == 0 {
		f.sample(wallTime(t.now))
	}
}

func (f *fleet) sample(now time.Time) {
	var loads []seammeasure.Load
	for _, m := range f.members() {
		loads = append(loads, seammeasure.Load{Server: m.Name, Capacity: m.Capacity, Rate: f.requests[m.Name] / sampleSeconds})
	}
	f.meter.Sample(now, loads)
	clear(f.requests)
}

// loseServer removes the next server if its loss is due, and reports whether it did. Losses are evenly
// spaced over the trace.
func (f *fleet) loseServer(now seamclock.Instant) bool {
	every := int(f.config.Duration/time.Second) / (f.config.Losses + 1)
	if f.losses == f.config.Losses || f.elapsedSeconds != every*(f.losses+1) {
		return false
	}
	f.lostServer = serverName(f.losses % f.config.Servers)
	f.returnsAt = now.Add(absenceDuration)
	f.grantableAt = now.Add(detectionDelay + f.moveDelays.HandoverTime)
	f.losses++
	f.meter.ServerLost(wallTime(now), f.lostServer)
	return true
}

func (f *fleet) restoreServer(now seamclock.Instant) {
	if f.lostServer != "" && seamclock.Expired(now, f.returnsAt) {
		f.lostServer = ""
	}
}

// plan applies the moves of the policy. After a loss, the new owners start after detectionDelay.
func (f *fleet) plan(t *trace, lost bool) {
	hot := t.hotSlots()
	for i := range f.view.Slots {
		f.view.Slots[i].Hot = hot[f.view.Slots[i].ID]
	}
	f.view.Members = f.members()
	now := t.now
	if lost {
		now = now.Add(detectionDelay)
	}
	moves := f.planFunc(now, f.view)
	for _, m := range moves {
		f.release(now, m)
	}
	for _, delay := range []time.Duration{f.moveDelays.PromotionTime, f.moveDelays.HandoverTime} {
		f.grant(now, moves, delay)
	}
}

// release ends the ownership of a slot that moves to another server.
func (f *fleet) release(now seamclock.Instant, m seamplace.Move) {
	if m.From != m.To && m.From != "" {
		f.meter.OwnerReleased(wallTime(now), m.Slot, m.From)
	}
}

// grant starts the ownership of those moved slots whose move takes exactly delay. plan calls it with
// ascending delays, because the meter must be called in time order.
func (f *fleet) grant(now seamclock.Instant, moves []seamplace.Move, delay time.Duration) {
	for _, m := range moves {
		s := &f.view.Slots[m.Slot.Index]
		if f.moveDelay(*s, m) != delay {
			continue
		}
		if s.Owner != m.To {
			f.meter.OwnerAssigned(wallTime(now.Add(delay)), m.Slot, m.To, 0)
			s.MovedAt = now
		}
		s.Owner, s.Standby = m.To, m.Standby
	}
}

func (f *fleet) moveDelay(s seamplace.Slot, m seamplace.Move) time.Duration {
	if s.Standby == m.To || s.Owner == m.To {
		return f.moveDelays.PromotionTime
	}
	return f.moveDelays.HandoverTime
}

func (f *fleet) result(now seamclock.Instant) PolicyResult {
	isProduct := f.policy == PolicyExchange || f.policy == PolicyAteliers
	return PolicyResult{Policy: f.policy, IsProduct: isProduct, Report: f.meter.Report(wallTime(now))}
}

func wallTime(i seamclock.Instant) time.Time {
	return time.Unix(0, int64(i.Wall)).UTC()
}
