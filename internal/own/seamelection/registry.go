// Package seamelection implements leader election for the assigner of each keyed service and runs the elected assigner.
// The leader of a service is the node named in its leader record in the store. The store removes the record when that
// node's store lease expires.
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
	// LeaderPrefix is the key prefix of the leader records.
	LeaderPrefix = "own/office/"
	// TablePrefix is the key prefix of the ownership tables. It is separate from that of the other keys, so that watching
	// those does not deliver the tables, which change far more often.
	TablePrefix = "table/"
)

// LeaderRecord names the elected assigner of a service and its epoch.
type LeaderRecord struct {
	Epoch uint64
	Peer  seampeer.Peer
	// Revision is the store revision of the record; 0 if it did not come from the store.
	Revision int64
}

// ToWire converts the record to its wire message.
func (r LeaderRecord) ToWire() *wire.Office {
	return &wire.Office{Epoch: r.Epoch, Node: seamtable.NodeToWire(r.Peer)}
}

// LeaderRecordFromWire converts a leader record from its wire message, which may be nil.
func LeaderRecordFromWire(w *wire.Office) LeaderRecord {
	return LeaderRecord{Epoch: w.GetEpoch(), Peer: seamtable.NodeFromWire(w.GetNode())}
}

// VersionedTable is an ownership table with its store revision.
type VersionedTable struct {
	seamtable.Table
	Revision int64
}

// replacedBefore reports whether the store came back from a copy with this table after it had held the known one, which is as
// late or later.
func (t VersionedTable) replacedBefore(known VersionedTable) bool {
	era, revision := seamstore.SplitEra(t.Revision)
	knownEra, knownRevision := seamstore.SplitEra(known.Revision)
	return t.Era != 0 && t.Era < era && knownEra == t.Era && knownRevision >= revision
}

// Registry tracks the leader records, tables and resignations of all services. It is safe for concurrent use.
type Registry struct {
	sink seamevent.Sink

	mu      sync.Mutex
	leaders map[string]LeaderRecord
	tables  map[string]VersionedTable
	// confirmedEpochs maps each service to the highest epoch in a leader record read from the store.
	confirmedEpochs map[string]uint64
	// firstEras maps each service to the earliest era of the store in which such a record was written.
	firstEras map[string]int64
	// resignations maps each service to the resignations of its former assigners, in the order received.
	resignations map[string][]Resignation
	// vacantSince maps each service without a leader record to the time since which it has had none.
	vacantSince map[string]time.Time
	// synced reports whether all leader records in the store have been read once.
	synced  bool
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(sink seamevent.Sink) *Registry {
	return &Registry{
		sink:        sink,
		leaders:     map[string]LeaderRecord{},
		tables:      map[string]VersionedTable{},
		vacantSince: map[string]time.Time{},

		confirmedEpochs: map[string]uint64{},
		firstEras:       map[string]int64{},
		resignations:    map[string][]Resignation{},

		changed: make(chan struct{}),
	}
}

// Leader returns the latest known leader record of a service; false if there is none.
func (r *Registry) Leader(service string) (LeaderRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.leaders[service]
	return record, ok
}

// VacantSince returns the time since which a service has had no leader record; false if it has one, or if the records
// have not been read yet. For a service that never had one, that is the time of the first call.
func (r *Registry) VacantSince(service string, now time.Time) (since time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, hasLeader := r.leaders[service]; hasLeader || !r.synced {
		return time.Time{}, false
	}
	since, ok = r.vacantSince[service]
	if !ok {
		since = now
		r.vacantSince[service] = now
	}
	return since, true
}

// Table returns the latest known table of a service; false if there is none.
func (r *Registry) Table(service string) (VersionedTable, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tables[service]
	return t, ok
}

// Tables returns the latest known tables of all services.
func (r *Registry) Tables() map[string]VersionedTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.tables)
}

// Changed returns a channel that is closed at the next change of a leader record or table, or when Synced is called.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Put applies a leader record or table that was written to the store. Other entries are ignored.
func (r *Registry) Put(now time.Time, e seamstore.Entry) {
	if service, ok := strings.CutPrefix(e.Key, LeaderPrefix); ok {
		r.putLeader(now, service, e)
	}
	if service, ok := strings.CutPrefix(e.Key, TablePrefix); ok {
		r.putTable(now, service, e)
	}
}

func (r *Registry) putLeader(now time.Time, service string, e seamstore.Entry) {
	record, err := decodeLeaderRecord(e.Value)
	if err != nil {
		r.sink.Emit(now, seamevent.TableRefused, seamevent.Fields{"key": e.Key, "revision": e.Revision, "error": err.Error()})
		return
	}
	record.Revision = e.Revision
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders[service] = record
	r.confirmedEpochs[service] = max(r.confirmedEpochs[service], record.Epoch)
	if _, known := r.firstEras[service]; !known {
		r.firstEras[service] = seamtable.EpochEra(record.Epoch)
	}
	delete(r.vacantSince, service)
	r.signal()
}

// firstEra returns the earliest era in which a leader record was written that this node read; 0 if there was none.
func (r *Registry) firstEra(service string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstEras[service]
}

// ConfirmedEpoch returns the highest epoch of a service in a leader record read from the store; false if there was none.
func (r *Registry) ConfirmedEpoch(service string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok := r.confirmedEpochs[service]
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

// ObserveTable records a table from any source, unless the known one has the same or a later revision.
func (r *Registry) ObserveTable(service string, t VersionedTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.tables[service]
	if t.Revision <= known.Revision || t.replacedBefore(known) {
		return
	}
	r.tables[service] = t
	r.signal()
}

// ObserveLeader records a leader that another node reported, unless the known one has the same or a later epoch.
func (r *Registry) ObserveLeader(service string, record LeaderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.Peer.Zero() || record.Epoch <= r.leaders[service].Epoch {
		return
	}
	r.leaders[service] = record
	r.signal()
}

// Delete applies the removal of a leader record. The removal of any other entry is ignored, so tables are kept.
func (r *Registry) Delete(now time.Time, key string, _ bool) {
	service, ok := strings.CutPrefix(key, LeaderPrefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaders, service)
	r.vacantSince[service] = now
	r.signal()
}

// Synced records that all leader records in the store have been read. Tables are read separately.
func (r *Registry) Synced(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
	r.signal()
}

// signal wakes all callers that wait for a change. mu must be held.
func (r *Registry) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// decodeLeaderRecord decodes the value of a leader record in the store. The result has no revision.
func decodeLeaderRecord(value []byte) (LeaderRecord, error) {
	w := new(wire.Office)
	if err := proto.Unmarshal(value, w); err != nil {
		return LeaderRecord{}, err
	}
	return LeaderRecordFromWire(w), nil
}
