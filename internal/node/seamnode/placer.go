package seamnode

import (
	"cmp"
	"slices"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/rule/seamset"
)

const (
	// idleRate is the load per member, in requests a second, below which slots are
	// spread by their number because their rates say nothing.
	idleRate = 1
	// hotShare is the share of the mean load of a member from which a slot counts as hot.
	hotShare = 0.5
)

// placer plans moves service by service, with the weights of the service's rules.
type placer struct {
	settings seamsetting.Place
	rules    *seamset.Set
	idle     seamcell.EvenPlacer
}

// Plan returns the moves that gain more than they cost.
func (p placer) Plan(now seamclock.Instant, view seamcell.PlaceView) []seamcell.Move {
	var moves []seamcell.Move
	for _, v := range byService(view) {
		if rateOf(v) < idleRate*float64(len(v.Members)) {
			moves = append(moves, p.idle.Plan(now, v)...)
			continue
		}
		moves = append(moves, p.planService(now, v)...)
	}
	return moves
}

func (p placer) planService(now seamclock.Instant, v seamcell.PlaceView) []seamcell.Move {
	var moves []seamcell.Move
	for _, m := range seamplace.Plan(now, p.placeView(now, v)) {
		if m.From != m.To {
			moves = append(moves, seamcell.Move{Slot: m.Slot, To: m.To})
		}
	}
	return moves
}

func (p placer) placeView(now seamclock.Instant, v seamcell.PlaceView) seamplace.View {
	view := seamplace.View{Config: p.config(v.Members[0].Service)}
	for _, m := range v.Members {
		view.Members = append(view.Members, seamplace.Member{
			Name:     m.Name,
			Domain:   m.Domain,
			Region:   m.Region,
			Capacity: float64(m.Capacity),
			InFlight: m.InFlight,
		})
	}
	hot := hotShare * rateOf(v) / float64(len(v.Members))
	for _, s := range v.Slots {
		view.Slots = append(view.Slots, seamplace.Slot{
			ID:      s.Slot,
			Owner:   s.Owner,
			Standby: s.Standby,
			Rate:    s.Rate,
			Moved:   now.Add(-s.Held),
			Hot:     s.Rate >= hot,
		})
	}
	return view
}

// config returns the weights of the service's rules, or else those of the settings.
func (p placer) config(service string) seamplace.Config {
	c := seamplace.DefaultConfig()
	c.Moves, c.Dwell = p.settings.Moves, p.settings.Dwell
	version, _ := p.rules.Version(service)
	w := version.Document.Place
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

// byService divides a view into one for each service that has members, in order of service.
func byService(view seamcell.PlaceView) []seamcell.PlaceView {
	views := map[string]*seamcell.PlaceView{}
	var names []string
	for _, m := range view.Members {
		v := views[m.Service]
		if v == nil {
			v = &seamcell.PlaceView{Moving: view.Moving}
			views[m.Service] = v
			names = append(names, m.Service)
		}
		v.Members = append(v.Members, m)
	}
	for _, s := range view.Slots {
		if v := views[s.Slot.Service]; v != nil {
			v.Slots = append(v.Slots, s)
		}
	}
	slices.Sort(names)
	divided := make([]seamcell.PlaceView, 0, len(names))
	for _, n := range names {
		divided = append(divided, *views[n])
	}
	return divided
}
