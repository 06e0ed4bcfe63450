package seamstandstore

import (
	"sort"
	"sync"
	"time"

	wire "cardamomseam/internal/platform/seamstorewire"
)

// keyspace holds the keys, the leases and the change history.
type keyspace struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]*wire.KeyValue
	history   []*wire.Event
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{}
}

type lease struct {
	ttlSeconds int64
	expiresAt  time.Time
}

// firstRevision is the revision of an empty store.
const firstRevision = 1

func newKeyspace() *keyspace {
	return &keyspace{
		revision: firstRevision,
		keys:     map[string]*wire.KeyValue{},
		leases:   map[int64]*lease{},
		changed:  make(chan struct{}),
	}
}

func header(revision int64) *wire.ResponseHeader {
	return &wire.ResponseHeader{Revision: revision}
}

// scan returns the keys in [from, end). An empty end selects only the key from.
func (k *keyspace) scan(from, end string) *wire.RangeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.scanLocked(from, end)
}

func (k *keyspace) scanLocked(from, end string) *wire.RangeResponse {
	r := &wire.RangeResponse{Header: header(k.revision)}
	for name, kv := range k.keys {
		if inRange(name, from, end) {
			r.Kvs = append(r.Kvs, kv)
		}
	}
	sort.Slice(r.Kvs, func(i, j int) bool { return string(r.Kvs[i].Key) < string(r.Kvs[j].Key) })
	r.Count = int64(len(r.Kvs))
	return r
}

func inRange(name, from, end string) bool {
	if end == "" {
		return name == from
	}
	return name >= from && (end == "\x00" || name < end)
}

// runTxn executes a transaction of one comparison and one write.
func (k *keyspace) runTxn(t *wire.TxnRequest) *wire.TxnResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := t.Compare[0]
	var found int64
	if kv := k.keys[string(c.Key)]; kv != nil {
		found = kv.ModRevision
	}
	r := &wire.TxnResponse{Succeeded: found == c.GetModRevision()}
	operations := t.Failure
	if r.Succeeded {
		operations = t.Success
	}
	for _, o := range operations {
		r.Responses = append(r.Responses, k.apply(o))
	}
	r.Header = header(k.revision)
	return r
}

func (k *keyspace) apply(o *wire.RequestOp) *wire.ResponseOp {
	switch q := o.Request.(type) {
	case *wire.RequestOp_RequestPut:
		k.put(q.RequestPut)
		return &wire.ResponseOp{Response: &wire.ResponseOp_ResponsePut{
			ResponsePut: &wire.PutResponse{Header: header(k.revision)},
		}}
	case *wire.RequestOp_RequestDeleteRange:
		n := k.deleteKey(string(q.RequestDeleteRange.Key))
		return &wire.ResponseOp{Response: &wire.ResponseOp_ResponseDeleteRange{
			ResponseDeleteRange: &wire.DeleteRangeResponse{Header: header(k.revision), Deleted: n},
		}}
	default:
		q2 := o.GetRequestRange()
		return &wire.ResponseOp{Response: &wire.ResponseOp_ResponseRange{
			ResponseRange: k.scanLocked(string(q2.GetKey()), string(q2.GetRangeEnd())),
		}}
	}
}

func (k *keyspace) put(p *wire.PutRequest) {
	k.revision++
	kv := &wire.KeyValue{
		Key:            p.Key,
		Value:          p.Value,
		CreateRevision: k.revision,
		ModRevision:    k.revision,
		Version:        1,
		Lease:          p.Lease,
	}
	if old := k.keys[string(p.Key)]; old != nil {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
	}
	k.keys[string(p.Key)] = kv
	k.appendEvent(&wire.Event{Kv: kv})
}

func (k *keyspace) deleteKey(name string) int64 {
	if k.keys[name] == nil {
		return 0
	}
	k.revision++
	delete(k.keys, name)
	k.appendEvent(&wire.Event{
		Type: wire.Event_DELETE,
		Kv:   &wire.KeyValue{Key: []byte(name), ModRevision: k.revision},
	})
	return 1
}

// maxHistory is the number of changes kept for watches that resume.
const maxHistory = 100_000

func (k *keyspace) appendEvent(e *wire.Event) {
	k.history = append(k.history, e)
	if len(k.history) > maxHistory {
		half := maxHistory / 2
		k.compacted = k.history[half-1].Kv.ModRevision
		k.history = append([]*wire.Event(nil), k.history[half:]...)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// compact drops the history up to the current revision.
func (k *keyspace) compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compacted = k.revision
	k.history = nil
}

// changesSince returns the changes in [from, end) from revision start on, the current
// revision, a channel that is closed at the next change, and, if start was compacted,
// the compacted revision.
func (k *keyspace) changesSince(start int64, from, end string) (events []*wire.Event, revision int64, nextChange <-chan struct{}, compacted int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if start <= k.compacted {
		return nil, k.revision, k.changed, k.compacted
	}
	first := sort.Search(len(k.history), func(i int) bool { return k.history[i].Kv.ModRevision >= start })
	for _, e := range k.history[first:] {
		if inRange(string(e.Kv.Key), from, end) {
			events = append(events, e)
		}
	}
	return events, k.revision, k.changed, 0
}

func (k *keyspace) currentRevision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

func (k *keyspace) grant(now time.Time, ttl, id int64) *wire.LeaseGrantResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	if id == 0 {
		k.nextLease++
		id = k.nextLease
	}
	k.leases[id] = &lease{ttlSeconds: ttl, expiresAt: now.Add(time.Duration(ttl) * time.Second)}
	return &wire.LeaseGrantResponse{Header: header(k.revision), ID: id, TTL: ttl}
}

func (k *keyspace) keepalive(now time.Time, id int64) *wire.LeaseKeepAliveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := &wire.LeaseKeepAliveResponse{Header: header(k.revision), ID: id}
	if l := k.leases[id]; l != nil {
		l.expiresAt = now.Add(time.Duration(l.ttlSeconds) * time.Second)
		r.TTL = l.ttlSeconds
	}
	return r
}

func (k *keyspace) revoke(id int64) *wire.LeaseRevokeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revokeLocked(id)
	return &wire.LeaseRevokeResponse{Header: header(k.revision)}
}

// expire revokes the expired leases.
func (k *keyspace) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, l := range k.leases {
		if now.After(l.expiresAt) {
			k.revokeLocked(id)
		}
	}
}

func (k *keyspace) revokeLocked(id int64) {
	delete(k.leases, id)
	var attached []string
	for name, kv := range k.keys {
		if kv.Lease == id {
			attached = append(attached, name)
		}
	}
	sort.Strings(attached)
	for _, name := range attached {
		k.deleteKey(name)
	}
}
