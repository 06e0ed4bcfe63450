// Package stand contains stand-ins for the platform's store, for targets and for callers, as the users' pages describe
// them, and starts the nodes as processes.
package stand

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_at"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// state is all that a copy of the store contains.
type state struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
	history  []item
}

// Copy is a copy of the store.
type Copy struct {
	state state
	taken time.Time
}

// Age returns the time since the copy was taken.
func (c Copy) Age() time.Duration { return time.Since(c.taken) }

// Store is a key-value store with leases, watches and eras.
type Store struct {
	record *Record

	mu        sync.Mutex
	state     state
	era       int64
	lastLease int64
	away      bool
	changed   chan struct{}
	refuse    func(r *http.Request) bool
	// lose tells of a written key whether the answer is lost; nil means that none is.
	lose func(key string) bool
	// writes and lost count the writes, and those whose answers were lost, since SetLoss.
	writes, lost int
}

// maxWatchEvents is the number of events in one response to a watch.
const maxWatchEvents = 500

// StartStore serves a store on a free port and returns its address.
func StartStore(record *Record) (s *Store, address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s = &Store{
		record:    record,
		state:     state{revision: 100, items: map[string]item{}, leases: map[int64]lease{}},
		era:       1,
		lastLease: 1000,
		changed:   make(chan struct{}),
	}
	go s.expireLeases()
	go func() { _ = http.Serve(l, s) }()
	return s, l.Addr().String(), nil
}

func (s *Store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.state.leases {
			if !s.away && now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. mu must be held.
func (s *Store) endLease(id int64) {
	delete(s.state.leases, id)
	var keys []string
	for key, i := range s.state.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > 0 {
		s.state.revision++
	}
	for _, key := range keys {
		s.remove(key)
	}
}

// remove removes a key at the current revision. mu must be held.
func (s *Store) remove(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	delete(s.state.items, key)
	s.append(item{Key: key, Revision: s.state.revision, Deleted: true})
}

// append adds a change to the history and wakes the watches. mu must be held.
func (s *Store) append(i item) {
	s.state.history = append(s.state.history, i)
	s.wake()
}

// wake wakes the watches. mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key at the current revision. mu must be held.
func (s *Store) write(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: lease}
	if old, ok := s.state.items[key]; ok {
		i.Created = old.Created
	}
	s.state.items[key] = i
	s.append(i)
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.revision++
	s.write(key, value, 0)
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Value
}

// Revision returns the revision of a key, 0 if there is none.
func (s *Store) Revision(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Revision
}

// SetRefusal sets which calls get status 503; nil for none.
func (s *Store) SetRefusal(refuse func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	s.wake()
}

// SetLoss sets of which written keys the answers are lost; nil for none. It returns how many writes there were, and how many of
// their answers were lost, since the last call.
func (s *Store) SetLoss(lose func(key string) bool) (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes, lost = s.writes, s.lost
	s.lose, s.writes, s.lost = lose, 0, 0
	return writes, lost
}

// SetAway makes the store answer all calls with status 503, or serve again. Leases pause meanwhile.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	if !away {
		s.restartLeases()
	}
	s.wake()
}

// restartLeases gives each lease its whole duration from now. mu must be held.
func (s *Store) restartLeases() {
	for id, l := range s.state.leases {
		l.expires = time.Now().Add(l.ttl)
		s.state.leases[id] = l
	}
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{state: s.state.clone(), taken: time.Now()}
}

func (s state) clone() state {
	s.items = maps.Clone(s.items)
	s.leases = maps.Clone(s.leases)
	s.history = slices.Clone(s.history)
	return s
}

// Restore makes the store come back from a copy. All that was written since is gone, leases too. Each lease of the copy
// runs for its whole duration from now.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c.state.clone()
	s.era++
	s.away = false
	s.restartLeases()
	s.wake()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.answer(r)
	if status == noAnswer {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type fields map[string]any

// noAnswer is the status of a call whose answer is lost.
const noAnswer = 0

func (s *Store) answer(r *http.Request) (status int, body any) {
	s.mu.Lock()
	refuse := s.away || s.refuse != nil && s.refuse(r)
	s.mu.Unlock()
	if refuse {
		return http.StatusServiceUnavailable, nil
	}
	path, id := r.URL.Path, int64(0)
	for _, prefix := range []string{"/kv-keep/", "/kv-lease-end/"} {
		if rest, ok := strings.CutPrefix(path, prefix); ok {
			path = prefix
			id, _ = strconv.ParseInt(rest, 10, 64)
		}
	}
	switch path {
	case "/kv-key":
		return s.key(r)
	case "/kv-range":
		return s.list(r)
	case "/kv-watch":
		return s.watch(r)
	case "/kv-txn":
		return s.transact(r)
	case "/kv-lease":
		return s.grantLease(r)
	case "/kv-keep/":
		return s.renewLease(id)
	case "/kv-lease-end/":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return http.StatusOK, fields{}
	default:
		return http.StatusNotFound, nil
	}
}

func (s *Store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, fields{"key": i.Key, "value": i.Value, "revision": i.Revision, "created_at": i.Created, "lease": i.Lease, "as_of": s.state.revision}
}

func (s *Store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.state.items[key])
		}
	}
	return http.StatusOK, fields{"items": items, "has_more": false, "as_of": s.state.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		if s.away || s.refuse != nil && s.refuse(r) {
			s.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		}
		if after > s.state.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := s.events(q.Get("prefix"), after)
		asOf, changed := s.state.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			return http.StatusOK, fields{"events": events, "as_of": asOf}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// events returns the changes after a revision. mu must be held.
func (s *Store) events(prefix string, after int64) []item {
	events := []item{}
	start, _ := slices.BinarySearchFunc(s.state.history, after+1, func(i item, revision int64) int { return int(i.Revision - revision) })
	for _, i := range s.state.history[start:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events[:min(len(events), maxWatchEvents)]
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) transact(r *http.Request) (int, any) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range t.Expected {
		i, ok := s.state.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, fields{"items": current, "as_of": s.state.revision}
	}
	for _, p := range t.Puts {
		if _, ok := s.state.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.state.revision++
	s.writes++
	lost := false
	for _, p := range t.Puts {
		lost = lost || s.lose != nil && s.lose(p.Key)
		s.write(p.Key, p.Value, p.Lease)
		s.record.Add("store write key=%s revision=%d era=%d lease=%d answer lost=%v", p.Key, s.state.revision, s.era, p.Lease, lost)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	if lost {
		s.lost++
		return noAnswer, nil
	}
	return http.StatusOK, fields{"revision": s.state.revision}
}

func (s *Store) grantLease(r *http.Request) (int, any) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := max(time.Duration(request.TTL)*time.Millisecond, time.Second)
	s.lastLease++
	s.state.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, fields{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()}
}

func (s *Store) renewLease(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.state.leases[id] = l
	return http.StatusOK, fields{"ttl_ms": l.ttl.Milliseconds()}
}
