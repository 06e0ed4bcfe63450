package seamroutes

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/rule/seamrule"
)

// Book holds the table in force. Its revision only rises. It is safe for concurrent use.
type ActiveTable struct {
	sink  seamevent.Sink
	table atomic.Pointer[Table]

	mu        sync.Mutex
	listeners []func(*Table)
}

// NewBook returns a book without a table.
func NewActiveTable(sink seamevent.Sink) *ActiveTable {
	return &ActiveTable{sink: sink}
}

// Current returns the table in force, or nil.
func (b *ActiveTable) Current() *Table { return b.table.Load() }

// Revision returns the revision of the table in force, or 0.
func (b *ActiveTable) Revision() int64 {
	if t := b.table.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// Listen has f called with each table that comes into force, and with the present one.
func (b *ActiveTable) Subscribe(f func(*Table)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners = append(b.listeners, f)
	if t := b.table.Load(); t != nil {
		f(t)
	}
}

// Apply puts a document into force, unless its revision is not above the present one. from
// says where it was read. The error is *InvalidError; the present table stays.
func (b *ActiveTable) Apply(now time.Time, d Document, from string) error {
	if err := d.Validate(); err != nil {
		b.sink.Emit(now, seamevent.RoutesRefused, seamevent.Fields{"revision": d.Revision, "from": from, "error": err.Error()})
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.Revision()
	if d.Revision <= before {
		return nil
	}
	t := Compile(d)
	b.table.Store(t)
	b.sink.Emit(now, seamevent.RoutesApplied, seamevent.Fields{
		"revision": d.Revision, "former": before, "from": from, "routes": len(d.Routes), "services": len(d.Services),
	})
	for _, f := range b.listeners {
		f(t)
	}
	return nil
}

// Decide implements the rules of an ingress.
func (b *ActiveTable) Decide(r *http.Request, _, _ string) (seamrule.Decision, error) {
	t := b.table.Load()
	if t == nil {
		return seamrule.Decision{}, &DecisionError{
			StatusCode:    http.StatusServiceUnavailable,
			RefusalReason: seamoutcome.Rules,
			Detail:        "no routes are known yet",
		}
	}
	return t.Decide(r)
}
