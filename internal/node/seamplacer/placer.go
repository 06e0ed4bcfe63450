// Package seamplacer plans the load balancing of slots in a cell, separately for each service, with the
// weights of the service's rules.
package seamplacer

import (
	"cmp"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/rule/seamrule"
)

// hotKeyLoadShare is the share of a member's mean load from which a single key makes its slot hot.
const hotKeyLoadShare = 0.5

// RuleSource provides the rules in effect.
type RuleSource interface {
	// Version returns the service's rules in effect, and whether there are any.
	Version(service string) (seamrule.Version, bool)
}

// Placer plans slot moves whose benefit exceeds their cost.
type Placer struct {
	settings seamsetting.Place
	rules    RuleSource
}

// New returns a placer. The weights of the settings apply to services whose rules set none.
func New(settings seamsetting.Place, rules RuleSource) *Placer {
	return &Placer{settings: settings, rules: rules}
}

// Plan returns slot moves between the members of the view. Slots of other nodes and standbys are left to the
// cell.
func (p *Placer) Plan(now seamclock.Instant, view seamcell.PlacementView) []seamcell.Move {
	var moves []seamcell.Move
	for _, v := range splitByService(view) {
		for _, m := range seamplace.Plan(now, p.viewOf(now, v)) {
			if m.Reason == seamplace.ReasonBalance || m.Reason == seamplace.ReasonRegion {
				moves = append(moves, seamcell.Move{Slot: m.Slot, To: m.To})
			}
		}
	}
	return moves
}

func (p *Placer) viewOf(now seamclock.Instant, v seamcell.PlacementView) seamplace.View {
	view := seamplace.View{Config: p.config(v.Members[0].Service)}
	for _, m := range v.Members {
		view.Members = append(view.Members, seamplace.Member{
			Name:      m.Name,
			Domain:    m.Domain,
			Region:    m.Region,
			Capacity:  float64(m.Capacity),
			InFlight:  m.InFlight,
			ColdStart: m.ColdStart,
		})
	}
	hot := hotKeyLoadShare * (seamplace.NodeBaseRate + totalRate(v)/float64(len(v.Members)))
	for _, s := range v.Slots {
		view.Slots = append(view.Slots, seamplace.Slot{
			ID:      s.Slot,
			Owner:   s.Owner,
			Standby: s.Standby,
			Rate:    s.Rate,
			MovedAt: lastMove(now, s),
			Hot:     s.HottestKeyRate >= hot,
		})
	}
	return view
}

// lastMove returns the time of the slot's last move. It is zero for a slot without load, which may move at any time.
func lastMove(now seamclock.Instant, s seamcell.PlacementSlot) seamclock.Instant {
	if s.Rate == 0 {
		return seamclock.Instant{}
	}
	return now.Add(-s.HeldFor)
}

// config returns the weights of the service's rules, with those of the settings as defaults.
func (p *Placer) config(service string) seamplace.Config {
	c := seamplace.DefaultConfig()
	c.BaseRate = seamplace.NodeBaseRate
	c.MaxMoves, c.Dwell = p.settings.Moves, p.settings.Dwell
	version, _ := p.rules.Version(service)
	w := version.Document.Placement
	c.Imbalance = cmp.Or(w.Imbalance, p.settings.Imbalance)
	c.Churn = cmp.Or(w.Churn, p.settings.Churn)
	c.Unavailable = cmp.Or(w.Unavailable, p.settings.Unavailable)
	return c
}

func totalRate(v seamcell.PlacementView) float64 {
	total := 0.0
	for _, s := range v.Slots {
		total += s.Rate
	}
	return total
}
