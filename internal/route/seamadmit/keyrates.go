package seamadmit

import "time"

const (
	// keyRateWindow is the time over which the requests of a key are counted.
	keyRateWindow = time.Second
	// overloadFactor times the rate that the target can serve is the request rate of a key from which on it counts as
	// overloaded: the queue stays full, whoever comes back.
	overloadFactor = 1.5
)

// OverloadedRetryAfter is the delay before a retry that a caller is given for an overloaded key. It is longer than most
// callers wait: a request that came back earlier would be refused again, or take the place of another one.
const OverloadedRetryAfter = 5 * time.Second

// keyRates counts the recent requests of each key.
type keyRates struct {
	// started is the start of the window in which current counts; previous has the counts of the window before it.
	started           time.Time
	current, previous map[uint32]int
}

func newKeyRates() keyRates {
	return keyRates{current: map[uint32]int{}, previous: map[uint32]int{}}
}

// count counts a request.
func (k *keyRates) count(now time.Time, key uint32) {
	k.rotate(now)
	k.current[key]++
}

// rotate starts a new window if the current one has ended.
func (k *keyRates) rotate(now time.Time) {
	age := now.Sub(k.started)
	if age < keyRateWindow {
		return
	}
	k.previous, k.current = k.current, map[uint32]int{}
	if age >= 2*keyRateWindow {
		clear(k.previous)
	}
	k.started = now
}

// perSecond returns the request rate of a key over about the last keyRateWindow.
func (k *keyRates) perSecond(now time.Time, key uint32) float64 {
	k.rotate(now)
	elapsed := now.Sub(k.started).Seconds() / keyRateWindow.Seconds()
	return (float64(k.previous[key])*(1-elapsed) + float64(k.current[key])) / keyRateWindow.Seconds()
}
