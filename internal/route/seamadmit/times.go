package seamadmit

import "time"

const (
	// meanWeight is the weight of one request in the mean time of all.
	meanWeight = 0.05
	// classWeight is the weight of one request in the mean time of its class.
	classWeight = 0.08
	// usualFactor times the mean time of a request is the time within which most requests end.
	typicalFactor = 1.5
	// leastPart divides the mean time of a request: so much time a request needs at least.
	minServiceDivisor = 3
	// afterFloor is the least time that a refused caller is told to wait.
	minRetryAfter = 20 * time.Millisecond
	// classLimit is the number of classes whose times are kept.
	classLimit = 256
)

// times holds the mean times of requests at the target, in seconds.
type serviceTimes struct {
	mean    float64
	classes map[uint32]float64
}

func newServiceTimes() serviceTimes { return serviceTimes{classes: map[uint32]float64{}} }

// of returns the mean time of a class; 0 if it is not known.
func (t *serviceTimes) ofClass(class uint32) time.Duration {
	return seconds(t.classes[class])
}

// work returns the mean time of a class, in seconds, or that of all requests if it is not known.
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

// mix returns the mean after one more sample.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
