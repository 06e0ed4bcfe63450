package seamstandtarget

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour is what can be changed while the target runs.
type Behaviour struct {
	// Service is the mean time that a request takes, in microseconds.
	ServiceMicros int `json:"service"`
	// Jitter is the range around Service, as a fraction of it.
	Jitter float64 `json:"jitter,omitempty"`
	// Shed is the probability that a request is shed with 503, not run.
	ShedProbability float64 `json:"shed,omitempty"`
	// Leaving says that the target is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Lag is the age of what the health and load endpoints tell, in milliseconds.
	LagMillis int `json:"lag,omitempty"`
	// Sick makes the health endpoint say 503 while requests are served as ever.
	Unhealthy bool `json:"sick,omitempty"`
}

// Load is the body of GET /load.
type Load struct {
	Running int `json:"running"`
	// Peak is the largest number of requests that ran at once.
	Peak int `json:"peak"`
	// Connections is the largest number of open connections.
	Connections int   `json:"connections"`
	Done        int64 `json:"done"`
	Shed        int64 `json:"shed"`
}

// work bounds and times the requests.
type work struct {
	slots   int
	cold    bool
	started time.Time

	mu      sync.Mutex
	now     Behaviour
	random  *rand.Rand
	load    Load
	open    int
	last    time.Time
	history []sample
}

type sample struct {
	at   time.Time
	load Load
}

const historyLength = 256

func newWork(cfg Config, now time.Time) *work {
	return &work{
		slots:   cfg.Slots,
		cold:    cfg.ColdStart,
		started: now,
		now:     cfg.Behaviour,
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

func (w *work) behave(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = b
}

func (w *work) behaviour() Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

// admit takes one of the slots and returns the time that the request takes, or false.
func (w *work) admit(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
	if w.load.Running >= w.slots || w.random.Float64() < w.now.ShedProbability {
		w.load.Shed++
		return 0, false
	}
	w.load.Running++
	w.load.Peak = max(w.load.Peak, w.load.Running)
	w.remember(now)
	return w.duration(now), true
}

func (w *work) duration(now time.Time) time.Duration {
	spread := 1 + w.now.Jitter*(2*w.random.Float64()-1)
	d := time.Duration(float64(w.now.ServiceMicros) * spread * float64(time.Microsecond))
	if w.cold && now.Sub(w.started) < ColdStartDuration {
		d *= coldFactor
	}
	return d
}

func (w *work) finish(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
	w.load.Running--
	w.load.Done++
	w.remember(now)
}

func (w *work) remember(now time.Time) {
	if len(w.history) == historyLength {
		w.history = append(w.history[:0], w.history[historyLength/2:]...)
	}
	w.history = append(w.history, sample{at: now, load: w.load})
}

// reported returns the load of Lag ago and whether the target calls itself healthy.
func (w *work) reported(now time.Time) (Load, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lag := time.Duration(w.now.LagMillis) * time.Millisecond
	if lag == 0 {
		return w.load, !w.now.Unhealthy
	}
	for i := len(w.history) - 1; i >= 0; i-- {
		if now.Sub(w.history[i].at) >= lag {
			return w.history[i].load, !w.now.Unhealthy
		}
	}
	return Load{}, !w.now.Unhealthy
}

// quiet returns the time since the last request, or 0 while one runs.
func (w *work) quiet(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load.Running > 0 {
		return 0
	}
	if w.last.IsZero() {
		return now.Sub(w.started)
	}
	return now.Sub(w.last)
}

func (w *work) connection(_ net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.open++
		w.load.Connections = max(w.load.Connections, w.open)
	case http.StateClosed, http.StateHijacked:
		w.open--
	}
}
