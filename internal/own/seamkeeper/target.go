package seamkeeper

import (
	"math"
	"time"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamsketch"
	"cardamomseam/internal/own/seamslot"
)

// loadWindow is the time constant of the moving average that is the rate of a slot.
const loadWindow = 10 * time.Second

// TargetChanged takes a change of the own target.
func (k *Keeper) TargetChanged(a seamtarget.Announcement, present bool) {
	state := seamcell.TargetState{}
	address := ""
	if present {
		state = k.stateOf(a)
		if a.HasCapability(seamtarget.CanGrant) {
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
		Service:       a.Service,
		Name:          a.Name,
		Address:       a.Address,
		Labels:        a.Labels,
		Concurrency:   a.Slots,
		Connections:   a.Connections,
		Standby:       a.HasCapability(seamtarget.CanStandby),
		Fence:         k.cfg.TrustFencing && a.HasCapability(seamtarget.CanFence),
		ColdStart:     a.ColdStart,
		Leaving:       a.Leaving,
		SyncedSlots:   synced(a),
		RetainedSlots: kept(a),
	}
}

// kept returns the slots that the target served last.
func kept(a seamtarget.Announcement) []seamcell.RetainedSlot {
	slots := make([]seamcell.RetainedSlot, 0, len(a.RetainedSlots))
	for _, x := range a.RetainedSlots {
		slots = append(slots, seamcell.RetainedSlot{Slot: slotID{Service: a.Service, Index: x.Slot}, Epoch: x.Epoch})
	}
	return slots
}

// synced returns what the target has copied, and to whom.
func synced(a seamtarget.Announcement) []seamcell.SyncedSlot {
	slots := make([]seamcell.SyncedSlot, 0, len(a.SyncedSlots))
	for _, x := range a.SyncedSlots {
		id := slotID{Service: a.Service, Index: x.Slot}
		slots = append(slots, seamcell.SyncedSlot{Slot: id, StandbyAddress: x.Standby})
	}
	return slots
}

// Load is the load of the own target.
type Load struct {
	// InFlight is the number of requests that run and wait.
	InFlight int
	// Hottest holds the rates of the most used keys by slot, in requests per second.
	HottestKeyRates map[seamslot.ID]float64
	// Callers holds the other regions from which most requests come, by slot.
	CallerRegions map[seamslot.ID]seamsketch.RegionShare
}

// Report tells the state machine the load of the own target. interval is the
// time since the last report.
func (k *Keeper) ReportLoad(load Load, interval time.Duration) {
	loads := k.holdings.loads(interval)
	for i := range loads {
		loads[i].HottestKeyRate = load.HottestKeyRates[loads[i].Slot]
		caller := load.CallerRegions[loads[i].Slot]
		loads[i].CallerRegion, loads[i].CallerShare = caller.Region, caller.Share
	}
	k.mu.Lock()
	k.target.InFlight = load.InFlight
	k.target.Loads = loads
	k.mu.Unlock()
	k.tellTarget()
}

func (k *Keeper) tellTarget() {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateTarget(now, k.target) })
}

// loads returns the average rates of the slots in requests per second.
func (h *holdings) loads(interval time.Duration) []seamcell.SlotLoad {
	h.mu.RLock()
	defer h.mu.RUnlock()
	loads := make([]seamcell.SlotLoad, 0, len(h.slots))
	for id, x := range h.slots {
		loads = append(loads, seamcell.SlotLoad{Slot: id, Rate: x.measure(interval)})
	}
	return loads
}

// measure takes the requests of the latest interval into the average and returns it. While
// less than a window was seen, all of it counts alike.
func (x *holding) measure(interval time.Duration) float64 {
	if interval <= 0 {
		return x.rate
	}
	served := x.served.Load()
	rate := float64(served-x.counted) / interval.Seconds()
	x.counted = served
	x.seen += interval
	decayed := 1 - math.Exp(-float64(interval)/float64(loadWindow))
	part := max(decayed, float64(interval)/float64(x.seen))
	x.rate += part * (rate - x.rate)
	return x.rate
}
