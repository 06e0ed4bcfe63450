package seampoison

import "time"

const (
	// answerLifetime is the time after an answer for which a crash beside the same request is not held against it.
	answerLifetime = 5 * time.Second
	// maxAnswers is the number of requests whose answers are remembered in each of two generations.
	maxAnswers = 4096
)

// answers are the requests that the target has answered lately. The zero value is empty.
type answers struct {
	startedAt         time.Time
	current, previous map[Key]time.Time
}

// add records the answer to a request. If there are too many, the oldest generation is forgotten.
func (a *answers) add(now time.Time, k Key) {
	if a.current == nil || len(a.current) >= maxAnswers || now.Sub(a.startedAt) > answerLifetime {
		a.previous, a.current, a.startedAt = a.current, map[Key]time.Time{}, now
	}
	a.current[k] = now
}

// has reports whether the request was answered within answerLifetime.
func (a *answers) has(now time.Time, k Key) bool {
	at, ok := a.current[k]
	if !ok {
		at, ok = a.previous[k]
	}
	return ok && now.Sub(at) <= answerLifetime
}
