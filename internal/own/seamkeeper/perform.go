package seamkeeper

import (
	"context"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
)

// perform performs one action without blocking. The caller holds mu.
func (k *Keeper) perform(now seamclock.Instant, action seamcell.Action) {
	switch a := action.(type) {
	case seamcell.Send:
		k.send(a)
	case seamcell.CompareAndSwap:
		k.startTask(func() { k.swapRecord(a) })
	case seamcell.Read:
		k.startTask(func() { k.readRecord(a) })
	case seamcell.Remove:
		k.startTask(func() { k.removeRecord(a) })
	case seamcell.Serve:
		k.serve(a)
	case seamcell.StopServing:
		k.stopServing(a)
	case seamcell.Fetch:
		k.fetch(a)
	case seamcell.Emit:
		k.deps.Sink.Emit(time.Unix(0, int64(now.Wall)), a.Name, a.Fields)
	}
}

func (k *Keeper) send(a seamcell.Send) {
	preamble, payload, err := seamcellwire.Split(a.Message)
	if err != nil {
		k.reportInvariant("cell message cannot be encoded", err)
		return
	}
	if err := k.deps.Datagrams.Send(a.To, preamble, payload); err != nil {
		k.deps.Metrics.GetOrCreateCounter(`cardamomseam_cell_unsent_total`).Inc()
	}
}

func (k *Keeper) reportInvariant(what string, err error) {
	k.deps.Sink.Emit(time.Now(), seamevent.InvariantBroken, seamevent.Fields{"what": what, "error": err.Error()})
}

// fetch starts a fetch unless one of the same kind is in progress.
func (k *Keeper) fetch(a seamcell.Fetch) {
	busy := &k.fetching[a.Kind]
	if !busy.CompareAndSwap(false, true) {
		return
	}
	k.startTask(func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
		defer cancel()
		if err := k.fetchFrom(ctx, a); err != nil {
			k.deps.Metrics.GetOrCreateCounter(`cardamomseam_fetch_failed_total`).Inc()
		}
	})
}

// fetchFrom fetches from the peer that the action names, or from the store if it names none.
func (k *Keeper) fetchFrom(ctx context.Context, a seamcell.Fetch) error {
	switch {
	case a.Kind == seamcell.FetchRules && a.From.Zero():
		return k.deps.Rules.Load(ctx)
	case a.Kind == seamcell.FetchRules:
		return k.deps.Rules.Fetch(ctx, a.From)
	case a.From.Zero():
		k.readDirectory()
		return nil
	default:
		return k.fetchDirectory(ctx, a.From, a.Revision)
	}
}
