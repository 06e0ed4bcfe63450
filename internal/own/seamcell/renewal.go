package seamcell

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamcellwire"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamslot"
)

// renew asks the coordinator to renew the lease.
func (c *Cell) renew() {
	m := c.member
	m.sequence++
	m.sent[m.sequence] = c.now
	m.renewed = c.now
	delete(m.sent, m.sequence-sentLife)
	x := c.renewal()
	m.unanswered++
	to := c.asked()
	spread := m.unanswered > patience && !m.backup.Zero() && !m.backup.Same(to)
	backup := m.backup
	c.send(to, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: x}})
	if spread && !backup.Same(c.self) {
		y := proto.Clone(x).(*seamcellwire.Renew)
		c.send(backup, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: y}})
	}
}

// asked returns the node that is asked to renew the lease.
func (c *Cell) asked() seampeer.Peer {
	m := c.member
	if c.coordination != nil || !m.coordinator.Same(c.self) {
		return m.coordinator
	}
	if e, ok := c.directory.get(CellPrefix + m.cell); ok && !e.Record.Coordinator.Same(c.self) {
		return e.Record.Coordinator
	}
	return m.backup
}

func (c *Cell) renewal() *seamcellwire.Renew {
	m := c.member
	x := &seamcellwire.Renew{
		Sequence: m.sequence, Version: m.table.version, Rules: c.applied,
		Inflight: uint32(max(c.target.InFlight, 0)), Draining: c.draining, Announced: c.announced,
		Leaving: m.leaveNotices > 0, Missed: uint32(m.unanswered),
	}
	introduce := !m.joined || c.forsaken()
	if introduce {
		x.Peer = peerWire(c.self)
	}
	if m.known != c.announced || introduce {
		x.Target = targetWire(c.target)
	}
	if m.joined && introduce {
		return x
	}
	for _, id := range sortedSlots(m.released) {
		if m.leaseTerm == m.table.term && len(x.Released) < listLimit {
			h := held(id, m.released[id])
			h.Kept = m.kept[id] == h.GetToken()
			x.Released = append(x.Released, h)
		}
	}
	c.addSynced(x)
	return x
}

// forsaken reports whether the coordinator has been silent for so long that the lease is over. The node then
// introduces itself, for another process may stand in the coordinator's place.
func (c *Cell) forsaken() bool {
	m := c.member
	_, live := c.Lease(c.now)
	return !live && m.unanswered > patience
}

func held(id seamslot.ID, token uint64) *seamcellwire.Held {
	return &seamcellwire.Held{Service: id.Service, Index: id.Index, Token: token}
}

// addSynced adds the slots of which the table says something else about the standby than the target does.
func (c *Cell) addSynced(x *seamcellwire.Renew) {
	m := c.member
	claimed := map[seamslot.ID]string{}
	for _, s := range c.target.SyncedSlots {
		claimed[s.Slot] = s.StandbyAddress
	}
	for _, id := range sortedSlots(m.serving) {
		e := m.table.slots[id]
		if e == nil || e.owner != m.id || e.standby == 0 || e.token != m.serving[id].token {
			continue
		}
		r := m.table.roster[e.standby]
		synced := r != nil && r.target.Address != "" && claimed[id] == r.target.Address
		switch {
		case synced && !e.synced && len(x.Synced) < listLimit:
			x.Synced = append(x.Synced, held(id, e.token))
		case !synced && e.synced && len(x.Lagging) < listLimit:
			x.Lagging = append(x.Lagging, held(id, e.token))
		}
	}
}

// sendLoad reports the loads of the slots in as many datagrams as they need.
func (c *Cell) sendLoad() {
	c.member.loaded = c.now
	l := &seamcellwire.Load{}
	size := 0
	service := ""
	for _, s := range c.target.Loads {
		w := &seamcellwire.SlotLoad{Index: s.Slot.Index, Rate: rateWire(s.Rate), Hottest: rateWire(s.HottestKeyRate)}
		w.Caller, w.Share = s.CallerRegion, uint32(s.CallerShare*shareUnit)
		n := proto.Size(w) + len(s.Slot.Service) + 4
		if size+n > c.payload() {
			c.sendLoads(l)
			l, size, service = &seamcellwire.Load{}, 0, ""
		}
		if s.Slot.Service != service {
			service = s.Slot.Service
			w.Service = service
		}
		l.Slots = append(l.Slots, w)
		size += n
	}
	c.sendLoads(l)
}

func (c *Cell) sendLoads(l *seamcellwire.Load) {
	m := c.member
	if len(l.GetSlots()) > 0 {
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Load{Load: l}})
	}
}

// rateUnit is the number of units of a rate on the wire in one request per second.
const rateUnit = 1000

// shareUnit is the number of units of a share on the wire in the whole.
const shareUnit = 100

func rateWire(rate float64) uint64 { return uint64(max(rate, 0) * rateUnit) }

func rateOf(wire uint64) float64 { return float64(wire) / rateUnit }

// envelope is the room left in a datagram for all but lists, in bytes.
const envelope = 300

// payload is the room for lists in a datagram, in bytes.
func (c *Cell) payload() int {
	return max(c.cfg.MaxDatagramBytes-envelope, envelope)
}

// pastWithKept returns the tokens under which slots were served last by this run of the node, or by the own
// target beside an earlier run.
func (c *Cell) pastWithKept() map[seamslot.ID]uint64 {
	past := maps.Clone(c.member.past)
	for _, k := range c.target.RetainedSlots {
		past[k.Slot] = max(past[k.Slot], k.Epoch)
	}
	return past
}

// sendReport tells a new coordinator which slots the own target served last.
func (c *Cell) sendReport() {
	m := c.member
	m.reported = c.now
	live := !m.lease.Zero() && !seamclock.Expired(c.now, m.lease)
	past := c.pastWithKept()
	ids := sortedSlots(past)
	parts := max(1, (len(ids)+reportLimit-1)/reportLimit)
	for i := range parts {
		r := &seamcellwire.Report{Part: uint32(i), Parts: uint32(parts)}
		for _, id := range ids[i*reportLimit : min(len(ids), (i+1)*reportLimit)] {
			h := held(id, past[id])
			h.Live = live
			if since := m.had[id]; !since.Zero() {
				h.Age = uint32(seamclock.MinElapsed(c.now, since) / time.Second)
			}
			r.Held = append(r.Held, h)
		}
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Report{Report: r}})
	}
}
