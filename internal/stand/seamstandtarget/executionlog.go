package seamstandtarget

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// ExecutionRecord is one entry of the execution log. Times are wall-clock times in nanoseconds
// since the Unix epoch.
type ExecutionRecord struct {
	// Kind is one of the Kind constants.
	Kind string `json:"kind"`
	// Server is the name of the target.
	Server  string `json:"server"`
	Service string `json:"service,omitempty"`
	At      int64  `json:"at"`
	// Request is the id of the request.
	Request string `json:"request,omitempty"`
	Key     string `json:"key,omitempty"`
	Slot    uint32 `json:"slot"`
	Epoch   uint64 `json:"epoch,omitempty"`
	// Start is the time at which the request arrived, in records about a request.
	Start int64 `json:"start,omitempty"`
	// ExpiresAt is the expiry of the grant, in records of KindGrant.
	ExpiresAt int64 `json:"until,omitempty"`
	// Held is the complete set of held slots, in records of KindGrant that changed the set.
	Held []HeldSlot `json:"held,omitempty"`
	// Count is the number of bookings that were sent or received with a slot.
	Count int `json:"count,omitempty"`
	// Standby is the address of the slot's standby or, after a handover, of its successor.
	Standby string `json:"standby,omitempty"`
	// HeldChanged reports whether Held is valid, even if it is empty.
	HeldChanged bool `json:"changed,omitempty"`
}

// HeldSlot is a slot that a target may serve, with its epoch.
type HeldSlot struct {
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// Kinds of execution records.
const (
	// KindRun is recorded when a request starts to run.
	KindRun = "run"
	// KindDone is recorded when a request has run and its effect is stored.
	KindDone = "done"
	// KindVoid is recorded when a started request was abandoned without any effect.
	KindVoid = "void"
	// KindDuplicate is recorded when the booking was already stored.
	KindDuplicate = "doubled"
	// KindRefused is recorded when a request was fenced or arrived after the grant expired.
	KindRefused = "refused"
	// KindGrant is recorded for each accepted grant from the node.
	KindGrant = "orders"
	// KindReleased is recorded when a slot was released for its handover.
	KindReleased = "released"
	// KindState is recorded when another target sent all bookings of a slot.
	KindState = "state"
	// KindHandedOver is recorded when the bookings of a slot were sent to its successor,
	// KindHandoverFailed when that failed.
	KindHandedOver     = "handed"
	KindHandoverFailed = "unhanded"
	// KindSynced is recorded when the standby of a slot became synced, KindUnsynced when a booking
	// could not be replicated to it.
	KindSynced   = "synced"
	KindUnsynced = "unsynced"
	// KindStaleEpoch is recorded when a grant named an epoch lower than one seen before.
	KindStaleEpoch = "stale"
)

// executionLog keeps records in memory and writes each to a writer before the step that it
// records, so that the file is complete even if the process is killed.
type executionLog struct {
	server     string
	service    string
	maxRecords int

	mu      sync.Mutex
	out     io.Writer
	records []ExecutionRecord
}

func newExecutionLog(cfg Config) *executionLog {
	return &executionLog{server: cfg.Name, service: cfg.Service, maxRecords: cfg.MaxRecords, out: cfg.ExecutionLog}
}

func (l *executionLog) add(x ExecutionRecord) {
	if l.out == nil && l.maxRecords < 0 {
		return
	}
	x.Server, x.Service = l.server, l.service
	if x.At == 0 {
		x.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) < l.maxRecords {
		l.records = append(l.records, x)
	}
	if l.out != nil {
		if body, err := json.Marshal(x); err == nil {
			_, _ = l.out.Write(append(body, '\n'))
		}
	}
}

func (l *executionLog) snapshot() []ExecutionRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ExecutionRecord(nil), l.records...)
}
