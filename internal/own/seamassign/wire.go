package seamassign

import (
	"time"

	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
)

// HeartbeatToWire converts a heartbeat to its wire message.
func HeartbeatToWire(service string, number uint64, b Heartbeat) *wire.Beat {
	w := &wire.Beat{
		Service:  service,
		Number:   number,
		Epoch:    b.Epoch,
		Holder:   seamtable.HolderToWire(b.Holder),
		Revision: b.Revision,
		State:    string(b.State),
		Settled:  b.NoEarlierGrants,
	}
	for _, r := range b.Released {
		w.Released = append(w.Released, &wire.Released{From: r.From, To: r.To, Fence: r.Fence, Handover: r.Handover})
	}
	if b.Load.MaxConcurrency > 0 {
		w.Load = seamtable.LoadToWire(b.Load)
	}
	return w
}

// HeartbeatFromWire converts a heartbeat from its wire message.
func HeartbeatFromWire(w *wire.Beat) Heartbeat {
	b := Heartbeat{
		Epoch:           w.GetEpoch(),
		Holder:          seamtable.HolderFromWire(w.GetHolder()),
		Revision:        w.GetRevision(),
		State:           State(w.GetState()),
		NoEarlierGrants: w.GetSettled(),
		Load:            seamtable.LoadFromWire(w.GetLoad()),
	}
	for _, r := range w.GetReleased() {
		b.Released = append(b.Released, Released{
			Span:     seamtable.Span{From: r.GetFrom(), To: r.GetTo()},
			Fence:    r.GetFence(),
			Handover: r.GetHandover(),
		})
	}
	return b
}

// ReplyToWire converts a reply to its wire message.
func ReplyToWire(number uint64, r Reply) *wire.Reply {
	return &wire.Reply{
		Number:   number,
		Epoch:    r.Epoch,
		Promise:  r.Lease.Milliseconds(),
		Revision: r.Revision,
		Changed:  r.Changed,
		Ranges:   seamtable.RangesToWire(r.Ranges),
		Release:  seamtable.RangesToWire(r.Release),
	}
}

// ReplyFromWire converts a reply from its wire message.
func ReplyFromWire(w *wire.Reply) Reply {
	return Reply{
		Epoch:    w.GetEpoch(),
		Lease:    time.Duration(w.GetPromise()) * time.Millisecond,
		Revision: w.GetRevision(),
		Changed:  w.GetChanged(),
		Ranges:   seamtable.RangesFromWire(w.GetRanges()),
		Release:  seamtable.RangesFromWire(w.GetRelease()),
	}
}
