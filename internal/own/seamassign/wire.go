package seamassign

import (
	"time"

	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
)

// HeartbeatToWire converts a heartbeat to its wire message, with the number that the reply repeats. A load without a
// concurrency limit counts as not reported.
func HeartbeatToWire(service string, number uint64, hb Heartbeat) *wire.Beat {
	w := &wire.Beat{
		Service:  service,
		Number:   number,
		Epoch:    hb.Epoch,
		Holder:   seamtable.HolderToWire(hb.Holder),
		Revision: hb.Revision,
		State:    string(hb.State),
		Settled:  hb.NoEarlierGrants,
	}
	for _, r := range hb.Released {
		w.Released = append(w.Released, &wire.Released{From: r.From, To: r.To, Fence: r.Fence, Handover: r.Handover})
	}
	for _, c := range hb.Claims {
		w.Claims = append(w.Claims, &wire.Claim{From: c.From, To: c.To, Fence: c.Fence})
	}
	if hb.Load.MaxConcurrency > 0 {
		w.Load = seamtable.LoadToWire(hb.Load)
	}
	return w
}

// HeartbeatFromWire converts a heartbeat from its wire message.
func HeartbeatFromWire(w *wire.Beat) Heartbeat {
	hb := Heartbeat{
		Epoch:           w.GetEpoch(),
		Holder:          seamtable.HolderFromWire(w.GetHolder()),
		Revision:        w.GetRevision(),
		State:           State(w.GetState()),
		NoEarlierGrants: w.GetSettled(),
		Load:            seamtable.LoadFromWire(w.GetLoad()),
	}
	for _, r := range w.GetReleased() {
		hb.Released = append(hb.Released, Released{
			Span:     seamtable.Span{From: r.GetFrom(), To: r.GetTo()},
			Fence:    r.GetFence(),
			Handover: r.GetHandover(),
		})
	}
	for _, c := range w.GetClaims() {
		hb.Claims = append(hb.Claims, Claim{Span: seamtable.Span{From: c.GetFrom(), To: c.GetTo()}, Fence: c.GetFence()})
	}
	return hb
}

// ReplyToWire converts the reply to the heartbeat of the given number to its wire message.
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
