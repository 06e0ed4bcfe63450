// Package seamplacer plans the moves of slots in a cell, service by service, with the
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

// hotShare is the part of the mean load of a member from which a single key makes its slot hot.
const hotShare = 0.5

// Rules know the documents in force.
type RuleSource interface {
	// Version returns the version of the service in force, and whether there is one.
	Version(service string) (seamrule.Version, bool)
}

// Placer plans the moves that gain more than they cost.
type Placer struct {
	settings seamsetting.Place
	rules    RuleSource
}

// New returns a placer. The settings hold the weights of services whose rules state none.
func New(settings seamsetting.Place, rules RuleSource) *Placer {
	return &Placer{settings: settings, rules: rules}
}

// Plan returns the moves between the members of the view. Slots of other nodes, and standbys,
// are left to the cell.
func (p *Placer) Plan(now seamclock.Instant, view seamcell.PlaceView) []seamcell.Move {
	var moves []seamcell.Move
	for _, v := range byService(view) {
		for _, m := range seamplace.Plan(now, p.viewOf(now, v)) {
			if m.Reason == seamplace.Balance || m.Reason == seamplace.Region {
				moves = append(moves, seamcell.Move{Slot: m.Slot, To: m.To})
			}
		}
	}
	return moves
}

func (p *Placer) viewOf(now seamclock.Instant, v seamcell.PlaceView) seamplace.View {
	view := seamplace.View{Config: p.config(v.Members[0].Service)}
	for _, m := range v.Members {
		view.Members = append(view.Members, seamplace.Member{
			Name:     m.Name,
			Domain:   m.Domain,
			Region:   m.Region,
			Capacity: float64(m.Capacity),
			InFlight: m.InFlight,
			Cold:     m.Cold,
		})
	}
	hot := hotShare * (seamplace.ProductBase + rateOf(v)/float64(len(v.Members)))
	for _, s := range v.Slots {
		view.Slots = append(view.Slots, seamplace.Slot{
			ID:      s.Slot,
			Owner:   s.Owner,
			Standby: s.Standby,
			Rate:    s.Rate,
			Moved:   moved(now, s),
			Hot:     s.Hottest >= hot,
		})
	}
	return view
}

// moved returns the time of the slot's last move. A slot without load may move at any time.
func moved(now seamclock.Instant, s seamcell.PlaceSlot) seamclock.Instant {
	if s.Rate == 0 {
		return seamclock.Instant{}
	}
	return now.Add(-s.Held)
}

// config returns the weights of the service's rules, or else those of the settings.
func (p *Placer) config(service string) seamplace.Config {
	c := seamplace.DefaultConfig()
	c.Base = seamplace.ProductBase
	c.Moves, c.Dwell = p.settings.Moves, p.settings.Dwell
	version, _ := p.rules.Version(service)
	w := version.Document.Placement
	c.Imbalance = cmp.Or(w.Imbalance, p.settings.Imbalance)
	c.Churn = cmp.Or(w.Churn, p.settings.Churn)
	c.Unavailable = cmp.Or(w.Unavailable, p.settings.Unavailable)
	return c
}

func rateOf(v seamcell.PlaceView) float64 {
	total := 0.0
	for _, s := range v.Slots {
		total += s.Rate
	}
	return total
}
