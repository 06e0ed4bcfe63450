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

// rateWindow is the time constant of the moving average of a slot's request rate.
const rateWindow = 10 * time.Second

// TargetChanged handles a change of this node's target.
func (k *Keeper) TargetChanged(a seamtarget.Announcement, present bool) {
	state := seamcell.TargetState{}
	address := ""
	if present {
		state = k.targetState(a)
		if a.HasCapability(seamtarget.CanGrant) {
			address = a.Address
		}
	}
	k.grantSender.setTarget(address)
	k.mu.Lock()
	state.InFlight, state.Loads = k.target.InFlight, k.target.Loads
	k.target = state
	k.mu.Unlock()
	k.updateTarget()
}

func (k *Keeper) targetState(a seamtarget.Announcement) seamcell.TargetState {
	return seamcell.TargetState{
		Service:       a.Service,
		Name:          a.Name,
		Address:       a.Address,
		Labels:        a.Labels,
		Concurrency:   a.MaxConcurrency,
		Connections:   a.Connections,
		Standby:       a.HasCapability(seamtarget.CanStandby),
		Fence:         k.cfg.TrustFencing && a.HasCapability(seamtarget.CanFence),
		ColdStart:     a.ColdStart,
		Leaving:       a.Leaving,
		SyncedSlots:   syncedSlots(a),
		RetainedSlots: retainedSlots(a),
	}
}

// retainedSlots returns the slots that the target served last and whose state it still has.
func retainedSlots(a seamtarget.Announcement) []seamcell.RetainedSlot {
	slots := make([]seamcell.RetainedSlot, 0, len(a.RetainedSlots))
	for _, x := range a.RetainedSlots {
		slots = append(slots, seamcell.RetainedSlot{Slot: slotID{Service: a.Service, Index: x.Slot}, Epoch: x.Epoch})
	}
	return slots
}

// syncedSlots returns the slots that the target has replicated, with their standbys.
func syncedSlots(a seamtarget.Announcement) []seamcell.SyncedSlot {
	slots := make([]seamcell.SyncedSlot, 0, len(a.SyncedSlots))
	for _, x := range a.SyncedSlots {
		id := slotID{Service: a.Service, Index: x.Slot}
		slots = append(slots, seamcell.SyncedSlot{Slot: id, StandbyAddress: x.Standby})
	}
	return slots
}

// Load is the load of this node's target.
type Load struct {
	// InFlight is the number of running and waiting requests.
	InFlight int
	// HottestKeyRates holds the rate of the most requested key of each slot, in requests per second.
	HottestKeyRates map[seamslot.ID]float64
	// CallerRegions holds, by slot, the other region from which most of the slot's requests come.
	CallerRegions map[seamslot.ID]seamsketch.RegionShare
}

// ReportLoad passes the load of this node's target to the state machine. interval is the time since the
// last report.
func (k *Keeper) ReportLoad(load Load, interval time.Duration) {
	loads := k.heldSlots.loads(interval)
	for i := range loads {
		loads[i].HottestKeyRate = load.HottestKeyRates[loads[i].Slot]
		caller := load.CallerRegions[loads[i].Slot]
		loads[i].CallerRegion, loads[i].CallerShare = caller.Region, caller.Share
	}
	k.mu.Lock()
	k.target.InFlight = load.InFlight
	k.target.Loads = loads
	k.mu.Unlock()
	k.updateTarget()
}

func (k *Keeper) updateTarget() {
	k.step(func(c *seamcell.Cell, now seamclock.Instant) []seamcell.Action { return c.UpdateTarget(now, k.target) })
}

// loads returns the average request rates of the slots, in requests per second.
func (h *heldSlots) loads(interval time.Duration) []seamcell.SlotLoad {
	h.mu.RLock()
	defer h.mu.RUnlock()
	loads := make([]seamcell.SlotLoad, 0, len(h.slots))
	for id, x := range h.slots {
		loads = append(loads, seamcell.SlotLoad{Slot: id, Rate: x.updateRate(interval)})
	}
	return loads
}

// updateRate adds the requests of the latest interval to the moving average and returns it. Until a full window
// has been measured, all intervals have equal weight.
func (x *heldSlot) updateRate(interval time.Duration) float64 {
	if interval <= 0 {
		return x.rate
	}
	served := x.served.Load()
	rate := float64(served-x.lastServed) / interval.Seconds()
	x.lastServed = served
	x.measuredTime += interval
	decayed := 1 - math.Exp(-float64(interval)/float64(rateWindow))
	weight := max(decayed, float64(interval)/float64(x.measuredTime))
	x.rate += weight * (rate - x.rate)
	return x.rate
}
