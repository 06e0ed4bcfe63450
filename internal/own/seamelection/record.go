// Package seamelection elects the assigner of each keyed service and runs it: one node at a
// time holds the office, by a record in the store that vanishes with the node's lease.
package seamelection

import (
	"maps"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/platform/seamstore"
)

const (
	// OfficePrefix precedes the keys of the records of assigners.
	LeaderPrefix = "own/office/"
	// TablePrefix precedes the keys of the tables of owners. They change far more often than other keys, and
	// a watch of the others does not cover them.
	TablePrefix = "table/"
)

// Record says who is the assigner of a service.
type LeaderRecord struct {
	Epoch uint64
	Peer  seampeer.Peer
	// Revision is that of the record in the store; 0 if there is none.
	Revision int64
}

// Wire returns the record in wire form.
func (r LeaderRecord) Wire() *wire.Office {
	return &wire.Office{Epoch: r.Epoch, Node: seamtable.NodeToWire(r.Peer)}
}

// RecordOf returns the record of a wire form, which may be nil.
func LeaderRecordOf(w *wire.Office) LeaderRecord {
	return LeaderRecord{Epoch: w.GetEpoch(), Peer: seamtable.NodeFromWire(w.GetNode())}
}

// Versioned is a table with its revision in the store.
type VersionedTable struct {
	seamtable.Table
	Revision int64
}

// Registry follows the records and the tables of all services. It is safe for concurrent use.
type Registry struct {
	sink seamevent.Sink

	mu      sync.Mutex
	offices map[string]LeaderRecord
	tables  map[string]VersionedTable
	// confirmed are the highest epochs that the store named.
	confirmed map[string]uint64
	// farewells are the words of former assigners of each service, the latest last.
	farewells map[string][]Resignation
	// vacant is the time since which a service has no record.
	vacant  map[string]time.Time
	fresh   bool
	changed chan struct{}
}

// NewRegistry returns a registry that knows nothing.
func NewRegistry(sink seamevent.Sink) *Registry {
	return &Registry{
		sink:    sink,
		offices: map[string]LeaderRecord{},
		tables:  map[string]VersionedTable{},
		vacant:  map[string]time.Time{},

		confirmed: map[string]uint64{},
		farewells: map[string][]Resignation{},

		changed: make(chan struct{}),
	}
}

// Office returns the record of the assigner of a service.
func (r *Registry) Leader(service string) (LeaderRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.offices[service]
	return record, ok
}

// Vacant returns the time since which a service has no assigner; false if it has one, or
// if the records were not read yet.
func (r *Registry) VacantSince(service string, now time.Time) (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.offices[service]; held || !r.fresh {
		return time.Time{}, false
	}
	since, ok = r.vacant[service]
	if !ok {
		since = now
		r.vacant[service] = now
	}
	return since, true
}

// Table returns the table of a service.
func (r *Registry) Table(service string) (VersionedTable, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tables[service]
	return t, ok
}

// Tables returns the tables of all services.
func (r *Registry) Tables() map[string]VersionedTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.tables)
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Put takes a key from the store.
func (r *Registry) Put(now time.Time, e seamstore.Entry) {
	if service, ok := strings.CutPrefix(e.Key, LeaderPrefix); ok {
		r.putOffice(now, service, e)
	}
	if service, ok := strings.CutPrefix(e.Key, TablePrefix); ok {
		r.putTable(now, service, e)
	}
}

func (r *Registry) putOffice(now time.Time, service string, e seamstore.Entry) {
	record, err := decodeOffice(e.Value)
	if err != nil {
		r.sink.Emit(now, seamevent.TableRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	record.Revision = e.Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offices[service] = record
	r.confirmed[service] = max(r.confirmed[service], record.Epoch)
	delete(r.vacant, service)
	r.signal()
}

// Confirmed returns the highest epoch of a service that the store named; false if it named none.
func (r *Registry) ConfirmedEpoch(service string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok := r.confirmed[service]
	return epoch, ok
}

func (r *Registry) putTable(now time.Time, service string, e seamstore.Entry) {
	if known, _ := r.Table(service); e.Revision <= known.Revision {
		return
	}
	t, err := seamtable.Decode(e.Value)
	if err != nil {
		r.sink.Emit(now, seamevent.TableRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	r.ObserveTable(service, VersionedTable{Table: t, Revision: e.Revision})
}

// Learn takes a table from wherever it is known, unless a later one is known already.
func (r *Registry) ObserveTable(service string, t VersionedTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Revision <= r.tables[service].Revision {
		return
	}
	r.tables[service] = t
	r.signal()
}

// Note takes a record that another node told.
func (r *Registry) ObserveLeader(service string, record LeaderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.Peer.Zero() || record.Epoch <= r.offices[service].Epoch {
		return
	}
	r.offices[service] = record
	r.signal()
}

// Delete takes the removal of a key.
func (r *Registry) Delete(now time.Time, key string, _ bool) {
	service, ok := strings.CutPrefix(key, LeaderPrefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.offices, service)
	r.vacant[service] = now
	r.signal()
}

// Fresh takes note that all keys were read.
func (r *Registry) Synced(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh = true
	r.signal()
}

// signal wakes those who wait for a change. mu is held.
func (r *Registry) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// decodeOffice reads a record.
func decodeOffice(value []byte) (LeaderRecord, error) {
	w := new(wire.Office)
	if err := proto.Unmarshal(value, w); err != nil {
		return LeaderRecord{}, err
	}
	return LeaderRecordOf(w), nil
}
