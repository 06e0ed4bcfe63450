package seamkeeper

import (
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
)

// loadSmoothing is the share of the latest interval in the rate of a slot.
const loadSmoothing = 0.5

// TargetChanged takes a change of the own target.
func (k *Keeper) TargetChanged(a seamtarget.Announcement, present bool) {
	state := seamcell.TargetState{}
	address := ""
	if present {
		state = k.stateOf(a)
		if a.Has(seamtarget.CanGrant) {
			address = a.Address
		}
	}
	k.orders.setTarget(address)
	k.mu.Lock()
	state.InFlight, state.Loads = k.target.InFlight, k.target.Loads
	k.target = state
	k.mu.Unlock()
	k.tellTarget()
}

func (k *Keeper) stateOf(a seamtarget.Announcement) seamcell.TargetState {
	return seamcell.TargetState{
		Service:     a.Service,
		Name:        a.Name,
		Address:     a.Address,
		Labels:      a.Labels,
		Slots:       a.Slots,
		Connections: a.Connections,
		Standby:     a.Has(seamtarget.CanStandby),
		Fence:       k.cfg.Fence && a.Has(seamtarget.CanFence),
		Cold:        a.Cold,
		Leaving:     a.Leaving,
		Synced:      synced(a),
	}
}

// synced returns what the target has copied, and to whom.
func synced(a seamtarget.Announcement) []seamcell.SyncedSlot {
	slots := make([]seamcell.SyncedSlot, 0, len(a.Synced))
	for _, x := range a.Synced {
		id := slotID{Service: a.Service, Index: x.Slot}
		slots = append(slots, seamcell.SyncedSlot{Slot: id, Standby: x.Standby})
	}
	return slots
}

// Report tells the state machine the load of the own target. interval is the
// time since the last report.
func (k *Keeper) Report(inFlight int, interval time.Duration) {
	loads := k.holdings.loads(interval, k.lastRates())
	k.mu.Lock()
	k.target.InFlight = inFlight
	k.target.Loads = loads
	k.mu.Unlock()
	k.tellTarget()
}

func (k *Keeper) tellTarget() {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.Target(now, k.target) })
}

func (k *Keeper) lastRates() map[slotID]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	rates := make(map[slotID]float64, len(k.target.Loads))
	for _, l := range k.target.Loads {
		rates[l.Slot] = l.Rate
	}
	return rates
}

// loads returns the smoothed rates of the slots in requests per second.
func (h *holdings) loads(interval time.Duration, last map[slotID]float64) []seamcell.SlotLoad {
	h.mu.RLock()
	defer h.mu.RUnlock()
	loads := make([]seamcell.SlotLoad, 0, len(h.slots))
	for id, x := range h.slots {
		served := x.served.Load()
		rate := float64(served-x.counted) / interval.Seconds()
		x.counted = served
		smooth := loadSmoothing*rate + (1-loadSmoothing)*last[id]
		loads = append(loads, seamcell.SlotLoad{Slot: id, Rate: smooth})
	}
	return loads
}
