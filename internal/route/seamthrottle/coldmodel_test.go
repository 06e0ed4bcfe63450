package seamthrottle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomseam/internal/route/seamthrottle"
)

// coldModel plays a target that starts again now and then, under more load than it can handle while cold, and the node beside it.
type coldModel struct {
	random   *rand.Rand
	throttle *seamthrottle.Throttle
	rate     float64
	// now and the other times are in ms since start. born is the start of the incarnation and the number that identifies it.
	now, born int
	// knownBorn and knownSequence are those of the latest announcement that the node has accepted.
	knownBorn, knownSequence int
	sequence                 int
	onTheWay                 []modelAnnouncement
	admitted                 []modelStart
	// starts are the times at which requests reached the target while it was cold.
	starts []int
	// served counts the requests that reached it, and coldTime the ms in which it was cold.
	served, coldTime int
}

type modelAnnouncement struct{ arrives, born, sequence, left int }

// modelStart is an admitted request and the time at which it is sent.
type modelStart struct{ admitted, sent int }

// modelWarmup is the time in ms for which a target is cold after a start.
const modelWarmup = 4000

func (m *coldModel) cold() bool { return m.now < m.born+modelWarmup }

// announce sends an announcement, and delivers those that have arrived, unless they are superseded.
func (m *coldModel) announce() {
	if (m.now-m.born)%870 == 50 {
		delay := m.random.IntN(50)
		if m.random.IntN(10) == 0 {
			delay = m.random.IntN(900)
		}
		m.sequence++
		m.onTheWay = append(m.onTheWay, modelAnnouncement{m.now + delay, m.born, m.sequence, max(m.born+modelWarmup-m.now, 0)})
	}
	for i := 0; i < len(m.onTheWay); i++ {
		a := m.onTheWay[i]
		if a.arrives > m.now {
			continue
		}
		m.onTheWay = append(m.onTheWay[:i], m.onTheWay[i+1:]...)
		i--
		if a.born < m.knownBorn || a.sequence < m.knownSequence {
			continue
		}
		m.knownBorn, m.knownSequence = a.born, a.sequence
		m.throttle.Announce(at(m.now), seamthrottle.Announcement{
			Target: seamthrottle.Target{Name: "t", Started: int64(a.born)}, ArrivedAt: at(m.now), Left: time.Duration(a.left) * time.Millisecond,
			Rate: m.rate, Duration: modelWarmup * time.Millisecond,
		})
	}
}

// send sends the admitted requests that are due.
func (m *coldModel) send() {
	left := m.admitted[:0]
	for _, s := range m.admitted {
		if s.sent > m.now {
			left = append(left, s)
			continue
		}
		if m.knownBorn != m.born {
			// The connections of the incarnation before are closed.
			m.throttle.DoubtTarget(at(m.now), seamthrottle.Target{Name: "t", Started: int64(m.knownBorn)}, false)
		}
		if !m.throttle.Confirm(at(m.now), at(s.admitted)) {
			continue
		}
		m.served++
		if m.cold() {
			m.starts = append(m.starts, m.now)
		}
	}
	m.admitted = left
}

func (m *coldModel) play(length int, load float64) {
	stalledUntil, restart := 0, 5000+m.random.IntN(3000)
	for ; m.now < length; m.now++ {
		if m.now == restart {
			m.born = m.now
			restart += 5000 + m.random.IntN(10_000)
		}
		m.announce()
		if m.random.IntN(8000) == 0 {
			// The goroutines of the node wait for a connection or a processor.
			stalledUntil = m.now + m.random.IntN(3000)
		}
		for n := m.random.ExpFloat64() * load / 1000; n > m.random.Float64(); n-- {
			// A node without an announced target refuses requests.
			if m.knownBorn >= 0 && m.throttle.Take(at(m.now)) {
				m.admitted = append(m.admitted, modelStart{m.now, max(m.now+m.random.IntN(5), stalledUntil)})
			}
		}
		m.send()
		if m.cold() {
			m.coldTime++
		}
	}
}

// mostInASecond returns the most requests that reached the cold target within any second.
func (m *coldModel) mostInASecond() int {
	most, first := 0, 0
	for i, s := range m.starts {
		for s-m.starts[first] > 1000 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Requests that start late, announcements that are late or overtake each other, and restarts that are not announced yet must not add up
// to more than a cold target can handle, nor keep it idle.
func TestModelOfRestartingTargetKeepsToTheRateOfTheWarmup(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &coldModel{random: rand.New(rand.NewPCG(seed, 14)), throttle: new(seamthrottle.Throttle), knownBorn: -1}
			m.rate = []float64{0.5, 3, 8, 40, 150}[seed%5]
			m.play(60_000, 30+4*m.rate)
			if most := m.mostInASecond(); float64(most) > 1.5*m.rate+8 {
				t.Errorf("%d requests within a second at a rate of %v", most, m.rate)
			}
			perSecond := float64(len(m.starts)) / (float64(m.coldTime) / 1000)
			if perSecond > 1.25*m.rate+2 || perSecond < 0.5*m.rate || m.served == 0 {
				t.Errorf("%.1f requests a second while cold at a rate of %v; %d served in all", perSecond, m.rate, m.served)
			}
		})
	}
}
