package seamadmit

import "time"

const (
	// meanWeight is the EWMA weight of one request in the mean service time of all requests.
	meanWeight = 0.05
	// classWeight is the EWMA weight of one request in the mean service time of its class.
	classWeight = 0.08
	// typicalFactor times the mean service time is the time within which most requests complete.
	typicalFactor = 1.5
	// minServiceDivisor divides the mean service time to give the least time that a request takes.
	minServiceDivisor = 3
	// minRetryAfter is the shortest delay before a retry that a refused caller is given.
	minRetryAfter = 20 * time.Millisecond
	// classLimit is the number of classes whose service times are tracked.
	classLimit = 256
)

// serviceTimes holds the mean service times at the target, in seconds.
type serviceTimes struct {
	mean    float64
	classes map[uint32]float64
}

func newServiceTimes() serviceTimes { return serviceTimes{classes: map[uint32]float64{}} }

// ofClass returns the mean service time of the class, or 0 if unknown.
func (t *serviceTimes) ofClass(class uint32) time.Duration {
	return seconds(t.classes[class])
}

// ofClassOrMean returns the mean service time of the class in seconds, or that of all requests if unknown.
func (t *serviceTimes) ofClassOrMean(class uint32) float64 {
	if mean, known := t.classes[class]; known {
		return mean
	}
	return t.mean
}

func (t *serviceTimes) observe(class uint32, service float64) {
	t.mean = ewma(t.mean, service, meanWeight)
	if _, known := t.classes[class]; !known && len(t.classes) >= classLimit {
		clear(t.classes)
	}
	t.classes[class] = ewma(t.classes[class], service, classWeight)
}

// ewma returns the exponentially weighted moving average after one more sample.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
