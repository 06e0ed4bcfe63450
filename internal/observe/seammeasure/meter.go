package seammeasure

import (
	"time"

	"cardamomseam/internal/own/seamslot"
)

// Report holds the measures over the time from the first to the last call of a Meter.
type Report struct {
	// Seconds is the length of the measured time.
	Seconds float64 `json:"seconds"`
	// Imbalance is the mean imbalance between servers over all samples.
	Imbalance float64 `json:"imbalance"`
	// PeakImbalance is the largest imbalance between servers in one sample.
	PeakImbalance float64 `json:"peak"`
	// FirmImbalance is the mean imbalance between firms over all samples; 0 if no server has a firm.
	FirmImbalance float64 `json:"firms,omitempty"`
	// Changes is the number of ownership changes.
	Changes int `json:"changes"`
	// ForcedChanges is the minimum number of ownership changes that lost servers require.
	ForcedChanges int `json:"forced"`
	// Churn is the number of ownership changes per minute.
	Churn float64 `json:"churn"`
	// Unavailable is the time during which keys had no owner, in key-seconds weighted by request rate.
	Unavailable float64 `json:"unavailable"`
	// LongestGap is the longest time, in seconds, during which a slot in use had no owner.
	LongestGap float64 `json:"longest"`
}

// Meter computes a Report from load samples and ownership changes. Calls must be in time
// order. It is not safe for concurrent use.
type Meter struct {
	keys float64
	// started and last are the times of the first and the last call.
	started, last time.Time

	samples                        int
	imbalance, peak, firmImbalance float64

	slots       map[seamslot.ID]*slot
	totalRate   float64
	changes     int
	forced      int
	unavailable float64
	longestGap  time.Duration
}

// slot is the ownership state of one slot.
type slot struct {
	// owner is the current owner or, while vacant, the previous one.
	owner  string
	epoch  uint64
	vacant bool
	// vacantSince is the time at which the slot became vacant.
	vacantSince time.Time
	// ownerLost reports whether the last owner was lost.
	ownerLost bool
	// rate is the load of the slot in requests per second.
	rate float64
}

// NewMeter returns a meter for a service with the given number of keys in use. If keys is 0,
// unavailable time is measured in slot-seconds instead of key-seconds.
func NewMeter(keys int) *Meter {
	return &Meter{keys: float64(keys), slots: map[seamslot.ID]*slot{}}
}

// Sample records the loads of all live servers during one interval. Intervals must have equal
// length. Intervals without load are ignored.
func (m *Meter) Sample(now time.Time, loads []Load) {
	m.advance(now)
	i := Imbalance(loads)
	if i == 0 {
		return
	}
	m.samples++
	m.imbalance += i
	m.peak = max(m.peak, i)
	m.firmImbalance += Imbalance(ByFirm(loads))
}

// SetSlotRate sets the load of a slot in requests per second. The slot's share of the total
// load is the weight of its unavailable time.
func (m *Meter) SetSlotRate(now time.Time, id seamslot.ID, rate float64) {
	m.advance(now)
	s := m.slot(id)
	m.totalRate += rate - s.rate
	s.rate = rate
}

// OwnerAssigned records that a server owns the slot from now on. Epochs increase with each
// change; a call with an older epoch is ignored. Epoch 0 stands for the next epoch.
func (m *Meter) OwnerAssigned(now time.Time, id seamslot.ID, server string, epoch uint64) {
	m.advance(now)
	s := m.slot(id)
	if epoch == 0 {
		epoch = s.epoch + 1
	}
	if epoch < s.epoch {
		return
	}
	s.epoch = epoch
	m.closeGap(s, now)
	if s.owner != "" && s.owner != server {
		m.countChange(s)
	}
	s.owner, s.ownerLost = server, false
}

// OwnerReleased records that the server no longer owns the slot.
func (m *Meter) OwnerReleased(now time.Time, id seamslot.ID, server string) {
	m.advance(now)
	m.openGap(now, m.slot(id), server, false)
}

// ServerLost records the loss of a server and of all slots that it owned.
func (m *Meter) ServerLost(now time.Time, server string) {
	m.advance(now)
	for _, s := range m.slots {
		m.openGap(now, s, server, true)
	}
}

// Report returns the measures up to now. Gaps of slots that are still vacant count until now.
func (m *Meter) Report(now time.Time) Report {
	m.advance(now)
	r := Report{
		Seconds:       m.last.Sub(m.started).Seconds(),
		PeakImbalance: m.peak,
		Changes:       m.changes,
		ForcedChanges: m.forced,
		Unavailable:   m.unavailable,
		LongestGap:    m.longestGap.Seconds(),
	}
	if m.samples > 0 {
		r.Imbalance = m.imbalance / float64(m.samples)
		r.FirmImbalance = m.firmImbalance / float64(m.samples)
	}
	if r.Seconds > 0 {
		r.Churn = float64(r.Changes) * 60 / r.Seconds
	}
	for _, s := range m.slots {
		if s.vacant {
			r.Unavailable += m.keyWeight(s) * m.last.Sub(s.vacantSince).Seconds()
			r.LongestGap = max(r.LongestGap, m.gapIfUsed(s, m.last.Sub(s.vacantSince)).Seconds())
		}
	}
	return r
}

func (m *Meter) advance(now time.Time) {
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

func (m *Meter) openGap(now time.Time, s *slot, server string, lost bool) {
	if s.owner != server || s.owner == "" {
		return
	}
	s.ownerLost = s.ownerLost || lost
	if !s.vacant {
		s.vacant, s.vacantSince = true, now
	}
}

// closeGap ends the gap of s and adds it to the unavailable time.
func (m *Meter) closeGap(s *slot, now time.Time) {
	if !s.vacant {
		return
	}
	s.vacant = false
	m.unavailable += m.keyWeight(s) * now.Sub(s.vacantSince).Seconds()
	m.longestGap = max(m.longestGap, m.gapIfUsed(s, now.Sub(s.vacantSince)))
}

func (m *Meter) countChange(s *slot) {
	m.changes++
	if s.ownerLost {
		m.forced++
	}
}

// keyWeight returns the key-seconds that one second without an owner of s counts for.
func (m *Meter) keyWeight(s *slot) float64 {
	keys := m.keys
	if keys == 0 {
		keys = float64(len(m.slots))
	}
	if m.totalRate <= 0 {
		return keys / float64(len(m.slots))
	}
	return keys * s.rate / m.totalRate
}

// gapIfUsed returns d if the slot has load or no slot has a known load, and 0 otherwise.
func (m *Meter) gapIfUsed(s *slot, d time.Duration) time.Duration {
	if m.totalRate > 0 && s.rate == 0 {
		return 0
	}
	return d
}
