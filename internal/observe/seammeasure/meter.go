package seammeasure

import (
	"time"

	"cardamomseam/internal/own/seamslot"
)

// Report holds the three measures over the time from the first to the last call of a Meter.
type Report struct {
	// Seconds is the length of the time that was measured.
	Seconds float64 `json:"seconds"`
	// Imbalance is the mean of the imbalance of all samples, per server.
	Imbalance float64 `json:"imbalance"`
	// Peak is the largest imbalance of one sample, per server.
	PeakImbalance float64 `json:"peak"`
	// Firms is the mean of the imbalance of all samples, per firm; 0 if no server has a firm.
	FirmImbalance float64 `json:"firms,omitempty"`
	// Changes is the number of changes of owner.
	Changes int `json:"changes"`
	// Forced is the least number of changes that losses forced.
	ForcedChanges int `json:"forced"`
	// Churn is the number of changes of owner a minute.
	Churn float64 `json:"churn"`
	// Unavailable is the time in which keys had no owner, in key-seconds weighted by use.
	Unavailable float64 `json:"unavailable"`
	// Longest is the longest time in which one slot in use had no owner, in seconds.
	LongestGap float64 `json:"longest"`
}

// Meter collects what the measures need. Calls are in the order of time. It is not safe
// for concurrent use.
type Meter struct {
	keys float64
	// started and last are the times of the first and the last call.
	started, last time.Time

	samples                int
	imbalance, peak, firms float64

	slots   map[seamslot.ID]*slot
	use     float64
	changes int
	forced  int
	gaps    float64
	longest time.Duration
}

// slot is what a meter knows of one slot.
type slot struct {
	// owner is the present owner, or the last one while vacant.
	owner  string
	epoch  uint64
	vacant bool
	// since is the time from which the slot is vacant.
	since time.Time
	// lost says that the last owner was lost.
	lost bool
	// use is the rate of the slot, in requests a second.
	use float64
}

// NewMeter returns a meter of a service with the number of keys in use. If it is 0, the
// unit of unavailable time is the slot-second instead of the key-second.
func NewMeter(keys int) *Meter {
	return &Meter{keys: float64(keys), slots: map[seamslot.ID]*slot{}}
}

// Sample takes the loads of all live servers over one interval. Intervals are of equal
// length; one without load is left out.
func (m *Meter) Sample(now time.Time, loads []Load) {
	m.tick(now)
	i := Imbalance(loads)
	if i == 0 {
		return
	}
	m.samples++
	m.imbalance += i
	m.peak = max(m.peak, i)
	m.firms += Imbalance(ByFirm(loads))
}

// Use sets the rate of a slot, in requests a second. The part of all requests that are
// the slot's is the weight of its unavailable time.
func (m *Meter) SetSlotRate(now time.Time, id seamslot.ID, rate float64) {
	m.tick(now)
	s := m.slot(id)
	m.use += rate - s.use
	s.use = rate
}

// Owned says that a server owns the slot from now on. Epochs rise with each change; one
// that is late is ignored. Epoch 0 stands for the next.
func (m *Meter) OwnerAssigned(now time.Time, id seamslot.ID, server string, epoch uint64) {
	m.tick(now)
	s := m.slot(id)
	if epoch == 0 {
		epoch = s.epoch + 1
	}
	if epoch < s.epoch {
		return
	}
	s.epoch = epoch
	m.close(s, now)
	if s.owner != "" && s.owner != server {
		m.change(s)
	}
	s.owner, s.lost = server, false
}

// Vacated says that the server no longer owns the slot.
func (m *Meter) OwnerReleased(now time.Time, id seamslot.ID, server string) {
	m.tick(now)
	m.vacate(now, m.slot(id), server, false)
}

// Lost says that the server was lost with all its slots.
func (m *Meter) ServerLost(now time.Time, server string) {
	m.tick(now)
	for _, s := range m.slots {
		m.vacate(now, s, server, true)
	}
}

// Report returns the measures up to now; slots that are vacant still count until now.
func (m *Meter) Report(now time.Time) Report {
	m.tick(now)
	r := Report{
		Seconds:       m.last.Sub(m.started).Seconds(),
		PeakImbalance: m.peak,
		Changes:       m.changes,
		ForcedChanges: m.forced,
		Unavailable:   m.gaps,
		LongestGap:    m.longest.Seconds(),
	}
	if m.samples > 0 {
		r.Imbalance = m.imbalance / float64(m.samples)
		r.FirmImbalance = m.firms / float64(m.samples)
	}
	if r.Seconds > 0 {
		r.Churn = float64(r.Changes) * 60 / r.Seconds
	}
	for _, s := range m.slots {
		if s.vacant {
			r.Unavailable += m.weight(s) * m.last.Sub(s.since).Seconds()
			r.LongestGap = max(r.LongestGap, m.used(s, m.last.Sub(s.since)).Seconds())
		}
	}
	return r
}

func (m *Meter) tick(now time.Time) {
	if m.started.IsZero() {
		m.started, m.last = now, now
	}
	if now.After(m.last) {
		m.last = now
	}
}

func (m *Meter) slot(id seamslot.ID) *slot {
	s, ok := m.slots[id]
	if !ok {
		s = &slot{}
		m.slots[id] = s
	}
	return s
}

func (m *Meter) vacate(now time.Time, s *slot, server string, lost bool) {
	if s.owner != server || s.owner == "" {
		return
	}
	s.lost = s.lost || lost
	if !s.vacant {
		s.vacant, s.since = true, now
	}
}

// close ends the time in which s was vacant.
func (m *Meter) close(s *slot, now time.Time) {
	if !s.vacant {
		return
	}
	s.vacant = false
	m.gaps += m.weight(s) * now.Sub(s.since).Seconds()
	m.longest = max(m.longest, m.used(s, now.Sub(s.since)))
}

func (m *Meter) change(s *slot) {
	m.changes++
	if s.lost {
		m.forced++
	}
}

// weight returns the number of keys for which a vacant second of s counts.
func (m *Meter) weight(s *slot) float64 {
	keys := m.keys
	if keys == 0 {
		keys = float64(len(m.slots))
	}
	if m.use <= 0 {
		return keys / float64(len(m.slots))
	}
	return keys * s.use / m.use
}

// used returns d if the slot is in use, or if no use is known.
func (m *Meter) used(s *slot, d time.Duration) time.Duration {
	if m.use > 0 && s.use == 0 {
		return 0
	}
	return d
}
