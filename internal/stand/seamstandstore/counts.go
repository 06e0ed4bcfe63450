package seamstandstore

import "sync"

// Kinds of calls.
const (
	KindRange     = "range"
	KindTxn       = "txn"
	KindGrant     = "grant"
	KindKeepalive = "keepalive"
	KindRevoke    = "revoke"
	// KindWatch counts a watch when it opens and again for each minute that it waits.
	KindWatch = "watch"
)

// Counts holds the number of calls.
type Counts struct {
	// Calls is the number of calls of each kind.
	Calls map[string]int64 `json:"calls"`
	// Keys is the number of writes of each key.
	KeyWrites map[string]int64 `json:"keys"`
	// Held is the number of calls that wait for the end of an outage.
	Blocked int64 `json:"held"`
	// Revision is the present revision of the store.
	Revision int64 `json:"revision"`
}

type counter struct {
	mu    sync.Mutex
	calls map[string]int64
	keys  map[string]int64
	held  int64
}

func newCounter() *counter {
	return &counter{calls: map[string]int64{}, keys: map[string]int64{}}
}

func (c *counter) call(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind]++
}

// hold counts a call that waits for the end of an outage, until the returned function is called.
func (c *counter) hold() (release func()) {
	c.addHeld(1)
	return func() { c.addHeld(-1) }
}

func (c *counter) addHeld(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += n
}

func (c *counter) write(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key]++
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Counts{Calls: map[string]int64{}, KeyWrites: map[string]int64{}, Blocked: c.held}
	for k, n := range c.calls {
		s.Calls[k] = n
	}
	for k, n := range c.keys {
		s.KeyWrites[k] = n
	}
	return s
}
