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

// renew asks the coordinator to renew the lease. After several unanswered renewals it also asks the
// backup.
func (c *Cell) renew() {
	m := c.member
	m.sequence++
	m.sentAt[m.sequence] = c.now
	m.lastRenewal = c.now
	delete(m.sentAt, m.sequence-sentRetention)
	x := c.renewal()
	m.unanswered++
	to := c.renewalDestination()
	askBackup := m.unanswered > maxMissedAnswers && !m.backup.Zero() && !m.backup.Same(to)
	backup := m.backup
	c.send(to, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: x}})
	if askBackup && !backup.Same(c.self) {
		y := proto.Clone(x).(*seamcellwire.Renew)
		c.send(backup, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Renew{Renew: y}})
	}
}

// renewalDestination returns the node that is asked to renew the lease.
func (c *Cell) renewalDestination() seampeer.Peer {
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
		Sequence: m.sequence, Version: m.table.version, Rules: c.appliedRules,
		Inflight: uint32(max(c.target.InFlight, 0)), Draining: c.draining, Announced: c.targetVersion,
		Leaving: m.leaveNotices > 0, Missed: uint32(m.unanswered),
	}
	includeIdentity := !m.joined || c.coordinatorLost()
	if includeIdentity {
		x.Peer = peerToWire(c.self)
	}
	if m.ackedTargetVersion != c.targetVersion || includeIdentity {
		x.Target = targetToWire(c.target)
	}
	if m.joined && includeIdentity {
		return x
	}
	for _, id := range sortedSlots(m.released) {
		if m.leaseTerm == m.table.term && len(x.Released) < maxRenewalSlots {
			h := heldToWire(id, m.released[id])
			h.Kept = m.kept[id] == h.GetToken()
			x.Released = append(x.Released, h)
		}
	}
	c.addSynced(x)
	return x
}

// coordinatorLost reports whether the coordinator has been unresponsive for so long that the lease
// has expired. The node then sends its full identity, because another process may have replaced the
// coordinator.
func (c *Cell) coordinatorLost() bool {
	m := c.member
	_, live := c.Lease(c.now)
	return !live && m.unanswered > maxMissedAnswers
}

func heldToWire(id seamslot.ID, token uint64) *seamcellwire.Held {
	return &seamcellwire.Held{Service: id.Service, Index: id.Index, Token: token}
}

// addSynced adds the slots for which the table and the target disagree on whether the standby is
// synced.
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
		case synced && !e.synced && len(x.Synced) < maxRenewalSlots:
			x.Synced = append(x.Synced, heldToWire(id, e.token))
		case !synced && e.synced && len(x.Lagging) < maxRenewalSlots:
			x.Lagging = append(x.Lagging, heldToWire(id, e.token))
		}
	}
}

// sendLoad reports the loads of the slots to the coordinator, in as many datagrams as needed.
func (c *Cell) sendLoad() {
	c.member.lastLoadReport = c.now
	l := &seamcellwire.Load{}
	size := 0
	service := ""
	for _, s := range c.target.Loads {
		w := &seamcellwire.SlotLoad{Index: s.Slot.Index, Rate: rateToWire(s.Rate), Hottest: rateToWire(s.HottestKeyRate)}
		w.Caller, w.Share = s.CallerRegion, uint32(s.CallerShare*shareUnit)
		n := proto.Size(w) + len(s.Slot.Service) + 4
		if size+n > c.maxListBytes() {
			c.sendLoadPart(l)
			l, size, service = &seamcellwire.Load{}, 0, ""
		}
		if s.Slot.Service != service {
			service = s.Slot.Service
			w.Service = service
		}
		l.Slots = append(l.Slots, w)
		size += n
	}
	c.sendLoadPart(l)
}

func (c *Cell) sendLoadPart(l *seamcellwire.Load) {
	m := c.member
	if len(l.GetSlots()) > 0 {
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Load{Load: l}})
	}
}

// rateUnit is the number of wire units per request per second.
const rateUnit = 1000

// shareUnit is the number of wire units in a share of 1.
const shareUnit = 100

func rateToWire(rate float64) uint64 { return uint64(max(rate, 0) * rateUnit) }

func rateFromWire(wire uint64) float64 { return float64(wire) / rateUnit }

// datagramOverhead is the space reserved in a datagram for everything except lists, in bytes.
const datagramOverhead = 300

// maxListBytes is the space for lists in a datagram, in bytes.
func (c *Cell) maxListBytes() int {
	return max(c.cfg.MaxDatagramBytes-datagramOverhead, datagramOverhead)
}

// lastServedOrRetained returns the tokens under which slots were last served by this incarnation of
// the node, or by the local target under an earlier incarnation of the node.
func (c *Cell) lastServedOrRetained() map[seamslot.ID]uint64 {
	past := maps.Clone(c.member.lastServed)
	for _, k := range c.target.RetainedSlots {
		past[k.Slot] = max(past[k.Slot], k.Epoch)
	}
	return past
}

// sendReport reports to a new coordinator which slots the local target served last.
func (c *Cell) sendReport() {
	m := c.member
	m.lastReport = c.now
	live := !m.lease.Zero() && !seamclock.Expired(c.now, m.lease)
	past := c.lastServedOrRetained()
	ids := sortedSlots(past)
	parts := max(1, (len(ids)+maxReportSlots-1)/maxReportSlots)
	for i := range parts {
		r := &seamcellwire.Report{Part: uint32(i), Parts: uint32(parts)}
		for _, id := range ids[i*maxReportSlots : min(len(ids), (i+1)*maxReportSlots)] {
			h := heldToWire(id, past[id])
			h.Live = live
			if since := m.servedSince[id]; !since.Zero() {
				h.Age = uint32(seamclock.MinElapsed(c.now, since) / time.Second)
			}
			r.Held = append(r.Held, h)
		}
		c.send(m.coordinator, &seamcellwire.Message{Cell: m.cell, Term: m.table.term, Body: &seamcellwire.Message_Report{Report: r}})
	}
}
