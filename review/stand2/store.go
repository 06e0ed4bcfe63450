package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time in which the store answers.
const storeLatency = 4 * time.Millisecond

// kvItem is one key of the store.
type kvItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_at"`
	Lease    int64  `json:"lease"`
}

// kvEvent is one change of a key.
type kvEvent struct {
	kvItem
	Deleted bool `json:"deleted,omitempty"`
}

// kvLease is a lease and the time at which it ends.
type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore is a stand-in of the platform's metadata store.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]kvItem
	history  []kvEvent
	leases   map[int64]*kvLease
	next     int64
	changed  chan struct{}
	// era counts how often the store came back from a copy; away means that it answers nothing.
	era  int64
	away bool
	// dropped is the revision up to which the history is gone.
	dropped int64
	rec     *recorder
}

// newStore returns an empty store whose leases expire.
func newStore(rec *recorder) *kvStore {
	s := &kvStore{revision: 100, era: 1, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, next: 7000, changed: make(chan struct{}), rec: rec}
	go func() {
		for now := range time.Tick(20 * time.Millisecond) {
			s.expire(now)
		}
	}()
	return s
}

func (s *kvStore) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. mu must be held.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// remove deletes a key at the current revision. mu must be held.
func (s *kvStore) remove(key string) {
	delete(s.items, key)
	s.record(kvEvent{kvItem: kvItem{Key: key, Revision: s.revision}, Deleted: true})
}

// write sets a key at the current revision. mu must be held.
func (s *kvStore) write(key, value string, lease int64) {
	i := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(kvEvent{kvItem: i})
}

// record adds a change to the history and wakes the watches. mu must be held.
func (s *kvStore) record(e kvEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(value), 0)
}

// ServeHTTP answers the calls of the store's protocol.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		<-r.Context().Done()
		return
	}
	time.Sleep(storeLatency)
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.serveKey(w, q.Get("key"))
	case r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (s *kvStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		kvItem
		AsOf int64 `json:"as_of"`
	}{i, asOf})
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []kvItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{})
			return
		}
		events := []kvEvent{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// kvTxn is a transaction.
type kvTxn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t kvTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, v := s.transact(t)
	writeJSON(w, status, v)
}

func (s *kvStore) transact(t kvTxn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, found := false, []kvItem{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			found = append(found, i)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": found, "as_of": s.revision}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var want struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&want) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(want.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	l := s.leases[n]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
