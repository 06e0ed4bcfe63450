package seamcell

import (
	"slices"
	"sort"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
	"cardamomseam/internal/platform/seamstore"
)

// divideServices writes the initial partition of the slots of services that have none.
func (c *Cell) divideServices() {
	r := c.coordination
	if r.ranges.undividedSince == nil {
		r.ranges.undividedSince = map[string]seamclock.Instant{}
	}
	_, served := c.sizeAndServices()
	for _, name := range served {
		s, ok := c.services[name]
		key := SlotsPrefix + name
		if _, divided := c.directory.get(key); !ok || divided || !c.directory.loaded {
			delete(r.ranges.undividedSince, name)
			continue
		}
		since, waiting := r.ranges.undividedSince[name]
		if !waiting {
			r.ranges.undividedSince[name] = c.now
			continue
		}
		if seamclock.MinElapsed(c.now, since) >= divideDelay && c.canCall(key) {
			c.swap(0, Record{Service: name, Transfers: c.division(s)}, seamstore.Takeover, func(Outcome, Entry, seamclock.Instant) {})
		}
	}
}

// division returns the transfers that assign a service's slots to the cells that can serve them.
func (c *Cell) division(s ServiceState) []Transfer {
	homes := s.HomeRegions
	if len(homes) == 0 {
		homes = []string{c.self.Region}
	}
	var transfers []Transfer
	for i, region := range homes {
		regionRange := seamslot.Range{Service: s.Name, From: partStart(s.Slots, i, len(homes)), To: partStart(s.Slots, i+1, len(homes))}
		cells := c.cellsOf(region, s.Name)
		for k, cell := range cells {
			part := regionRange
			part.From = regionRange.From + partStart(regionRange.Len(), k, len(cells))
			part.To = regionRange.From + partStart(regionRange.Len(), k+1, len(cells))
			if part.Len() > 0 {
				transfers = append(transfers, Transfer{Range: part, Source: SlotsPrefix + s.Name, Cell: cell})
			}
		}
	}
	return transfers
}

// partStart returns the lower bound of part i of n equal parts of total.
func partStart(total uint32, i, n int) uint32 {
	return uint32(uint64(total) * uint64(i) / uint64(n))
}

// cellsOf returns the cells of a region that offer the service. If there is none, it returns this
// node's own cell.
func (c *Cell) cellsOf(region, service string) []string {
	var cells []string
	for _, e := range c.directory.sorted() {
		if c.alive(e) && e.Record.Region == region && slices.Contains(e.Record.Services, service) {
			cells = append(cells, e.Record.ID)
		}
	}
	own := c.coordination.entry.Record.ID
	if region == c.self.Region && !slices.Contains(cells, own) || len(cells) == 0 {
		cells = append(cells, own)
		sort.Strings(cells)
	}
	return cells
}

// alive reports whether the entry is a cell with a coordinator.
func (c *Cell) alive(e Entry) bool {
	return !e.Deleted && e.Record.ID != "" && !e.Record.Coordinator.Zero() && !c.recordExpired(e)
}
