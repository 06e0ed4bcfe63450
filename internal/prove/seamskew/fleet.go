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
	// detection is the time from the loss of a server until its slots may be granted again.
	detection = 1400 * time.Millisecond
	// absence is the time for which a lost server stays away.
	absence = 2 * time.Minute
	// sampleLength is the length of a sample of loads, in seconds.
	sampleLength = 10
	// targetSlots is the number of requests that a server runs at once.
	targetSlots = 12
)

// decide is a policy: what to move now.
type decide func(now seamclock.Instant, v seamplace.View) []seamplace.Move

// fleet is the servers and slots under one policy.
type fleet struct {
	config Config
	policy string
	decide decide
	view   seamplace.View
	// pauses holds the times for which a moved slot is not served.
	pauses seamplace.Config
	// lost is the server that is away, or empty.
	lost string
	// back is the time at which it returns.
	back   seamclock.Instant
	losses int
	// granted is the time at which the slots of the last lost server are granted again.
	granted seamclock.Instant
	elapsed int
	// load holds the requests by server since the last sample.
	load  map[string]float64
	meter *seammeasure.Meter
}

func newFleet(c Config, policy string, d decide, weights seamplace.Config) *fleet {
	f := &fleet{
		config: c,
		policy: policy,
		decide: d,
		pauses: seamplace.DefaultConfig(),
		load:   map[string]float64{},
		meter:  seammeasure.NewMeter(c.Keys),
		view:   seamplace.View{Config: weights},
	}
	for i := range c.Slots {
		id := seamslot.ID{Service: "calendar", Index: uint32(i)}
		f.view.Slots = append(f.view.Slots, seamplace.Slot{ID: id})
	}
	return f
}

// server returns the name of the server with the number i.
func server(i int) string {
	return fmt.Sprintf("erie-%c-%d", 'a'+rune(i%2), i)
}

// members returns the servers that are there.
func (f *fleet) members() []seamplace.Member {
	var members []seamplace.Member
	for i := range f.config.Servers {
		name := server(i)
		if name == f.lost {
			continue
		}
		members = append(members, seamplace.Member{
			Name:            name,
			Domain:          name[:len("erie-a")],
			Region:          "erie",
			Capacity:        targetSlots,
			SupportsStandby: true,
		})
	}
	return members
}

// second takes the requests of one second and lets the policy decide when it is due.
func (f *fleet) second(t *trace) {
	f.elapsed++
	f.count(t)
	lost := f.lose(t.now)
	f.restore(t.now)
	due := f.elapsed%int(f.config.PlanInterval/time.Second) == 0 && seamclock.Expired(t.now, f.granted)
	if due || lost || f.elapsed == 1 {
		f.plan(t, lost)
	}
}

// count adds the requests to the servers that own their slots.
func (f *fleet) count(t *trace) {
	for i := range f.view.Slots {
		s := &f.view.Slots[i]
		s.Rate = t.rates.Rate(s.ID.Index)
		f.meter.SetSlotRate(wall(t.now), s.ID, s.Rate)
		f.load[s.Owner] += t.counts[s.ID.Index]
	}
	if f.elapsed%sampleLength == 0 {
		f.sample(wall(t.now))
	}
}

func (f *fleet) sample(now time.Time) {
	var loads []seammeasure.Load
	for _, m := range f.members() {
		loads = append(loads, seammeasure.Load{Server: m.Name, Capacity: m.Capacity, Rate: f.load[m.Name] / sampleLength})
	}
	f.meter.Sample(now, loads)
	clear(f.load)
}

// lose takes the next server away when it is due.
func (f *fleet) lose(now seamclock.Instant) bool {
	every := int(f.config.Duration/time.Second) / (f.config.Losses + 1)
	if f.losses == f.config.Losses || f.elapsed != every*(f.losses+1) {
		return false
	}
	f.lost = server(f.losses % f.config.Servers)
	f.back = now.Add(absence)
	f.granted = now.Add(detection + f.pauses.HandoverTime)
	f.losses++
	f.meter.ServerLost(wall(now), f.lost)
	return true
}

func (f *fleet) restore(now seamclock.Instant) {
	if f.lost != "" && seamclock.Expired(now, f.back) {
		f.lost = ""
	}
}

// plan applies what the policy decides. After a loss, ownership starts after its detection.
func (f *fleet) plan(t *trace, lost bool) {
	hot := t.hot()
	for i := range f.view.Slots {
		f.view.Slots[i].Hot = hot[f.view.Slots[i].ID]
	}
	f.view.Members = f.members()
	now := t.now
	if lost {
		now = now.Add(detection)
	}
	moves := f.decide(now, f.view)
	for _, m := range moves {
		f.release(now, m)
	}
	for _, pause := range []time.Duration{f.pauses.PromotionTime, f.pauses.HandoverTime} {
		f.grant(now, moves, pause)
	}
}

// release ends the ownership of a slot that moves away from a live server.
func (f *fleet) release(now seamclock.Instant, m seamplace.Move) {
	if m.From != m.To && m.From != "" {
		f.meter.OwnerReleased(wall(now), m.Slot, m.From)
	}
}

// grant starts the ownership of the slots that are not served for just pause.
func (f *fleet) grant(now seamclock.Instant, moves []seamplace.Move, pause time.Duration) {
	for _, m := range moves {
		s := &f.view.Slots[m.Slot.Index]
		if f.pause(*s, m) != pause {
			continue
		}
		if s.Owner != m.To {
			f.meter.OwnerAssigned(wall(now.Add(pause)), m.Slot, m.To, 0)
			s.MovedAt = now
		}
		s.Owner, s.Standby = m.To, m.Standby
	}
}

func (f *fleet) pause(s seamplace.Slot, m seamplace.Move) time.Duration {
	if s.Standby == m.To || s.Owner == m.To {
		return f.pauses.PromotionTime
	}
	return f.pauses.HandoverTime
}

func (f *fleet) outcome(now seamclock.Instant) PolicyResult {
	ours := f.policy == PolicyExchange || f.policy == PolicyAteliers
	return PolicyResult{Policy: f.policy, IsProduct: ours, Report: f.meter.Report(wall(now))}
}

func wall(i seamclock.Instant) time.Time {
	return time.Unix(0, int64(i.Wall)).UTC()
}
