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
	imbalance, peak, firmImbalance float64

	slots   map[seamslot.ID]*slot
	totalRate     float64
	changes int
	forced  int
	unavailable    float64
	longestGap time.Duration
}

// slot is what a meter knows of one slot.
type slot struct {
	// owner is the present owner, or the last one while vacant.
	owner  string
	epoch  uint64
	vacant bool
	// since is the time from which the slot is vacant.
	vacantSince time.Time
	// lost says that the last owner was lost.
	ownerLost bool
	// use is the rate of the slot, in requests a second.
	rate float64
}

// NewMeter returns a meter of a service with the number of keys in use. If it is 0, the
// unit of unavailable time is the slot-second instead of the key-second.
func NewMeter(keys int) *Meter {
	return &Meter{keys: float64(keys), slots: map[seamslot.ID]*slot{}}
}

// Sample takes the loads of all live servers over one interval. Intervals are of equal
// length; one without load is left out.
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

// Use sets the rate of a slot, in requests a second. The part of all requests that are
// the slot's is the weight of its unavailable time.
func (m *Meter) SetSlotRate(now time.Time, id seamslot.ID, rate float64) {
	m.advance(now)
	s := m.slot(id)
	m.totalRate += rate - s.rate
	s.rate = rate
}

// Owned says that a server owns the slot from now on. Epochs rise with each change; one
// that is late is ignored. Epoch 0 stands for the next.
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

// Vacated says that the server no longer owns the slot.
func (m *Meter) OwnerReleased(now time.Time, id seamslot.ID, server string) {
	m.advance(now)
	m.openGap(now, m.slot(id), server, false)
}

// Lost says that the server was lost with all its slots.
func (m *Meter) ServerLost(now time.Time, server string) {
	m.advance(now)
	for _, s := range m.slots {
		m.openGap(now, s, server, true)
	}
}

// Report returns the measures up to now; slots that are vacant still count until now.
func (m *Meter) Report(now time.Time) Report {
	m.advance(now)
	r := Report{
		Seconds:     m.last.Sub(m.started).Seconds(),
		PeakImbalance:        m.peak,
		Changes:     m.changes,
		ForcedChanges:      m.forced,
		Unavailable: m.unavailable,
		LongestGap:     m.longestGap.Seconds(),
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

// close ends the time in which s was vacant.
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

// weight returns the number of keys for which a vacant second of s counts.
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

// used returns d if the slot is in use, or if no use is known.
func (m *Meter) gapIfUsed(s *slot, d time.Duration) time.Duration {
	if m.totalRate > 0 && s.rate == 0 {
		return 0
	}
	return d
}
