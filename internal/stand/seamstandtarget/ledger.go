package seamstandtarget

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Line is one entry of the ledger. Times are wall clock, in nanoseconds since the Unix epoch.
type ExecutionRecord struct {
	// Kind is one of the kinds below.
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
	// Start is the time at which the request arrived, in lines of the kinds done and void.
	Start int64 `json:"start,omitempty"`
	// Until is the end of the orders, in lines of the kind orders.
	ExpiresAt int64 `json:"until,omitempty"`
	// Held is the complete set of slots, in lines of the kind orders whose set differs from the one before.
	Held []HeldSlot `json:"held,omitempty"`
	// Count is the number of bookings, in lines of the kinds state and handed.
	Count int `json:"count,omitempty"`
	// Standby is the address of the slot's standby, in lines of the kind synced.
	Standby string `json:"standby,omitempty"`
	// Changed says that Held is meant, even if it is empty.
	HeldChanged bool `json:"changed,omitempty"`
}

// Held is a slot that a target may serve.
type HeldSlot struct {
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
}

// Kinds of lines.
const (
	// KindRun is written when a request starts to run.
	KindRun = "run"
	// KindDone is written when a request has run and its effect is stored.
	KindDone = "done"
	// KindVoid is written when a started request was abandoned without any effect.
	KindVoid = "void"
	// KindDoubled is written when the booking was already there.
	KindDuplicate = "doubled"
	// KindRefused is written when the fencing token or the end of the orders forbade a request.
	KindRefused = "refused"
	// KindOrders is written for each accepted order of the node.
	KindGrant = "orders"
	// KindReleased is written when a slot was handed over.
	KindReleased = "released"
	// KindState is written when another target sent all bookings of a slot.
	KindState = "state"
	// KindHanded is written when the bookings of a slot were sent to its successor,
	// KindUnhanded when that failed.
	KindHandedOver     = "handed"
	KindHandoverFailed = "unhanded"
	// KindSynced is written when the standby of a slot came up to date, KindUnsynced when it fell behind.
	KindSynced   = "synced"
	KindUnsynced = "unsynced"
	// KindStale is written when an order named an epoch lower than one seen before.
	KindStaleEpoch = "stale"
)

// ledger keeps lines in memory and copies each to a writer before the step that it records,
// so that a killed process leaves a complete file.
type ledger struct {
	server  string
	service string
	keep    int

	mu   sync.Mutex
	out  io.Writer
	kept []ExecutionRecord
}

func newLedger(cfg Config) *ledger {
	return &ledger{server: cfg.Name, service: cfg.Service, keep: cfg.MaxRecords, out: cfg.ExecutionLog}
}

func (l *ledger) add(x ExecutionRecord) {
	if l.out == nil && l.keep < 0 {
		return
	}
	x.Server, x.Service = l.server, l.service
	if x.At == 0 {
		x.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.kept) < l.keep {
		l.kept = append(l.kept, x)
	}
	if l.out != nil {
		if body, err := json.Marshal(x); err == nil {
			_, _ = l.out.Write(append(body, '\n'))
		}
	}
}

func (l *ledger) lines() []ExecutionRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ExecutionRecord(nil), l.kept...)
}
