package seamstandstore

import "sync"

// Kinds of store calls.
const (
	KindRange     = "range"
	KindTxn       = "txn"
	KindGrant     = "grant"
	KindKeepalive = "keepalive"
	KindRevoke    = "revoke"
	// KindWatch is counted when a watch opens and again for each minute that it stays open.
	KindWatch = "watch"
)

// Counts holds the call statistics and the current revision of the store.
type Counts struct {
	// Calls is the number of calls by kind.
	Calls map[string]int64 `json:"calls"`
	// KeyWrites is the number of writes by key.
	KeyWrites map[string]int64 `json:"keys"`
	// Blocked is the number of calls that are currently blocked until an outage ends.
	Blocked int64 `json:"held"`
	// Revision is the current revision of the store.
	Revision int64 `json:"revision"`
}

type counter struct {
	mu        sync.Mutex
	calls     map[string]int64
	keyWrites map[string]int64
	blocked   int64
}

func newCounter() *counter {
	return &counter{calls: map[string]int64{}, keyWrites: map[string]int64{}}
}

func (c *counter) countCall(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind]++
}

// countBlocked counts a call as blocked by an outage until the returned function is called.
func (c *counter) countBlocked() (done func()) {
	c.addBlocked(1)
	return func() { c.addBlocked(-1) }
}

func (c *counter) addBlocked(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked += n
}

func (c *counter) countWrite(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyWrites[key]++
}

// snapshot returns a copy of the statistics, without the revision.
func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Counts{Calls: map[string]int64{}, KeyWrites: map[string]int64{}, Blocked: c.blocked}
	for k, n := range c.calls {
		s.Calls[k] = n
	}
	for k, n := range c.keyWrites {
		s.KeyWrites[k] = n
	}
	return s
}
