package seamfeed

// Highest is highest.
type Highest struct{ highest }

// Record records a number.
func (h *Highest) Record(number uint64) { h.record(number) }

// Load returns the highest number.
func (h *Highest) Load() uint64 { return h.load() }
