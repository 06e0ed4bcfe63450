package seamroutes

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/rule/seamrule"
)

// ActiveTable holds the route table that a node currently uses. Its revision never decreases.
// It is safe for concurrent use.
type ActiveTable struct {
	sink  seamevent.Sink
	table atomic.Pointer[Table]

	mu        sync.Mutex
	listeners []func(*Table)
	splits    splitCounters
}

// NewActiveTable returns an ActiveTable without a table.
func NewActiveTable(sink seamevent.Sink) *ActiveTable {
	return &ActiveTable{sink: sink}
}

// CountSplits counts the requests of the parts of splits in the set, from the next table on.
func (a *ActiveTable) CountSplits(set *metrics.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.splits.set = set
}

// Current returns the current table, or nil if none has been applied.
func (a *ActiveTable) Current() *Table { return a.table.Load() }

// Revision returns the revision of the current table, or 0 if none has been applied.
func (a *ActiveTable) Revision() int64 {
	if t := a.table.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// Subscribe calls f with the current table, if there is one, and with each table that replaces it.
func (a *ActiveTable) Subscribe(f func(*Table)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, f)
	if t := a.table.Load(); t != nil {
		f(t)
	}
}

// Apply replaces the current table with the compiled document if the document's revision is higher.
// source names where the document was read. The error is *InvalidDocumentError; the current table
// then stays.
func (a *ActiveTable) Apply(now time.Time, d Document, source string) error {
	if err := d.Validate(); err != nil {
		a.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"revision": d.Revision, "from": source, "error": err.Error()})
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.Revision()
	if d.Revision <= before {
		return nil
	}
	t := Compile(d)
	a.splits.attach(t)
	a.table.Store(t)
	a.sink.Emit(now, seamevent.RoutesApplied, appliedFields(t, before, source))
	for _, f := range a.listeners {
		f(t)
	}
	return nil
}

// maxNamedConflicts is the number of services with conflicting regions that a log line names.
const maxNamedConflicts = 8

// appliedFields describes a table that came into effect for the log.
func appliedFields(t *Table, former int64, source string) seamevent.Fields {
	fields := seamevent.Fields{
		"revision": t.Revision, "former": former, "from": source, "routes": len(t.Routes), "services": len(t.Services),
	}
	if n := t.restrictedRoutes(); n > 0 {
		fields["restricted"] = n
	}
	if names := t.ConflictingServices(); len(names) > 0 {
		fields["conflicts"] = names[:min(len(names), maxNamedConflicts)]
	}
	return fields
}

// RequestRegions returns the regions that the current route for the host and the request URI allows, and false if there is none.
func (a *ActiveTable) RequestRegions(host, uri string) ([]string, bool) {
	if t := a.table.Load(); t != nil {
		return t.RequestRegions(host, uri)
	}
	return nil, false
}

// Decide returns the routing decision for a request. It implements the Rules interface of seamingress.
// The error is *DecisionError.
func (a *ActiveTable) Decide(r *http.Request, _, _ string) (seamrule.Decision, error) {
	t := a.table.Load()
	if t == nil {
		return seamrule.Decision{}, &DecisionError{
			StatusCode:    http.StatusServiceUnavailable,
			RefusalReason: seamoutcome.Rules,
			Detail:        "this node has received no routes yet",
		}
	}
	return t.Decide(r)
}
