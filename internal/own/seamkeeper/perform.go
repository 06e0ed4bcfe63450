package seamkeeper

import (
	"context"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
)

// perform carries out one action. It is called with mu held and does not block.
func (k *Keeper) perform(now seamclock.Instant, action seamcell.Action) {
	switch a := action.(type) {
	case seamcell.Send:
		k.send(a)
	case seamcell.CompareAndSwap:
		k.background(func() { k.swap(a) })
	case seamcell.Read:
		k.background(func() { k.readRecord(a) })
	case seamcell.Remove:
		k.background(func() { k.remove(a) })
	case seamcell.Serve:
		k.serve(a)
	case seamcell.StopServing:
		k.stopServing(a)
	case seamcell.Fetch:
		k.fetch(a)
	case seamcell.Emit:
		k.parts.Sink.Emit(time.Unix(0, int64(now.Wall)), a.Name, a.Fields)
	}
}

func (k *Keeper) send(a seamcell.Send) {
	preamble, payload, err := seamcellwire.Split(a.Message)
	if err != nil {
		k.invariant("unsendable message", err)
		return
	}
	if err := k.parts.Datagrams.Send(a.To, preamble, payload); err != nil {
		k.parts.Metrics.GetOrCreateCounter(`cardamomseam_cell_unsent_total`).Inc()
	}
}

func (k *Keeper) invariant(what string, err error) {
	k.parts.Sink.Emit(time.Now(), seamevent.InvariantBroken, seamevent.Fields{"what": what, "error": err.Error()})
}

// fetch starts a fetch unless one of the same kind is under way.
func (k *Keeper) fetch(a seamcell.Fetch) {
	busy := &k.fetching[a.Kind]
	if !busy.CompareAndSwap(false, true) {
		return
	}
	k.background(func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(k.ctx, k.cfg.CallTimeout)
		defer cancel()
		if err := k.fetchFrom(ctx, a); err != nil {
			k.parts.Metrics.GetOrCreateCounter(`cardamomseam_fetch_failed_total`).Inc()
		}
	})
}

// fetchFrom asks the peer of a Fetch, or the store if it names none.
func (k *Keeper) fetchFrom(ctx context.Context, a seamcell.Fetch) error {
	switch {
	case a.Kind == seamcell.FetchRules && a.From.Zero():
		return k.parts.Rules.Load(ctx)
	case a.Kind == seamcell.FetchRules:
		return k.parts.Rules.Fetch(ctx, a.From)
	case a.From.Zero():
		k.readDirectory()
		return nil
	default:
		return k.fetchDirectory(ctx, a.From, a.Revision)
	}
}
