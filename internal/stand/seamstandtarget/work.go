package seamstandtarget

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour is the simulated behaviour of a target. It can be changed while the target runs.
type Behaviour struct {
	// ServiceMicros is the mean service time of a request in microseconds.
	ServiceMicros int `json:"service"`
	// Jitter is the maximum deviation from the mean service time, as a fraction of it.
	Jitter float64 `json:"jitter,omitempty"`
	// ShedProbability is the probability that a request is rejected with 503 and not run.
	ShedProbability float64 `json:"shed,omitempty"`
	// Leaving announces that the target is stopping, also in each response.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the number of requests per second that each response states as the most that the target accepts; nil for
	// none.
	Limit *float64 `json:"limit,omitempty"`
	// LagMillis is the age of the load that the health and load endpoints report, in milliseconds.
	LagMillis int `json:"lag,omitempty"`
	// Unhealthy makes the health endpoint respond with 503 while requests are served as usual.
	Unhealthy bool `json:"sick,omitempty"`
}

// Load is the response body of GET /load.
type Load struct {
	Running int `json:"running"`
	// Peak is the largest number of concurrent requests so far.
	Peak int `json:"peak"`
	// Connections is the largest number of open connections so far.
	Connections int   `json:"connections"`
	Done        int64 `json:"done"`
	Shed        int64 `json:"shed"`
}

// workload limits the concurrent requests, draws their service times and records the load.
type workload struct {
	slots     int
	coldStart bool
	started   time.Time

	mu              sync.Mutex
	current         Behaviour
	random          *rand.Rand
	load            Load
	openConnections int
	lastRequest     time.Time
	history         []sample
}

type sample struct {
	at   time.Time
	load Load
}

const maxSamples = 256

func newWorkload(cfg Config, now time.Time) *workload {
	return &workload{
		slots:     cfg.Slots,
		coldStart: cfg.ColdStart,
		started:   now,
		current:   cfg.Behaviour,
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

func (w *workload) setBehaviour(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = b
}

func (w *workload) behaviour() Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// admit starts a request and returns its service time, or false if the request is shed.
func (w *workload) admit(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequest = now
	if w.load.Running >= w.slots || w.random.Float64() < w.current.ShedProbability {
		w.load.Shed++
		return 0, false
	}
	w.load.Running++
	w.load.Peak = max(w.load.Peak, w.load.Running)
	w.recordSample(now)
	return w.serviceTime(now), true
}

func (w *workload) serviceTime(now time.Time) time.Duration {
	spread := 1 + w.current.Jitter*(2*w.random.Float64()-1)
	d := time.Duration(float64(w.current.ServiceMicros) * spread * float64(time.Microsecond))
	if w.coldStart && now.Sub(w.started) < ColdStartDuration {
		d *= coldStartFactor
	}
	return d
}

func (w *workload) finish(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequest = now
	w.load.Running--
	w.load.Done++
	w.recordSample(now)
}

func (w *workload) recordSample(now time.Time) {
	if len(w.history) == maxSamples {
		w.history = append(w.history[:0], w.history[maxSamples/2:]...)
	}
	w.history = append(w.history, sample{at: now, load: w.load})
}

// delayedLoad returns the load of LagMillis ago and whether the target reports itself healthy.
func (w *workload) delayedLoad(now time.Time) (Load, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lag := time.Duration(w.current.LagMillis) * time.Millisecond
	if lag == 0 {
		return w.load, !w.current.Unhealthy
	}
	for i := len(w.history) - 1; i >= 0; i-- {
		if now.Sub(w.history[i].at) >= lag {
			return w.history[i].load, !w.current.Unhealthy
		}
	}
	return Load{}, !w.current.Unhealthy
}

// idleTime returns the time since the last request, or 0 while one is running.
func (w *workload) idleTime(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load.Running > 0 {
		return 0
	}
	if w.lastRequest.IsZero() {
		return now.Sub(w.started)
	}
	return now.Sub(w.lastRequest)
}

func (w *workload) connStateChanged(_ net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.openConnections++
		w.load.Connections = max(w.load.Connections, w.openConnections)
	case http.StateClosed, http.StateHijacked:
		w.openConnections--
	}
}
