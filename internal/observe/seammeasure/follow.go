package seammeasure

import (
	"strconv"
	"strings"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamslot"
)

// Follow takes an event of a node's stream. Events of several nodes are merged in the
// order of time before. Events without a meaning for the measures are ignored.
func (m *Meter) ObserveEvent(e seamevent.Event) {
	if f, ok := followers[e.Name]; ok {
		f(m, e)
	}
}

// followers take the events that change ownership, by name.
var followers = map[string]func(*Meter, seamevent.Event){
	seamevent.SlotGranted:    (*Meter).granted,
	seamevent.SlotReleased:   (*Meter).released,
	seamevent.SlotsExpired:   (*Meter).lapsed,
	seamevent.CellMemberLost: (*Meter).memberLost,
}

// granted takes the fields slot and epoch.
func (m *Meter) granted(e seamevent.Event) {
	if id, ok := slotField(e.Fields); ok {
		m.OwnerAssigned(e.Time, id, e.Node, epochField(e.Fields))
	}
}

// released takes the field slot.
func (m *Meter) released(e seamevent.Event) {
	if id, ok := slotField(e.Fields); ok {
		m.OwnerReleased(e.Time, id, e.Node)
	}
}

// lapsed means that the node lost all its grants.
func (m *Meter) lapsed(e seamevent.Event) {
	m.ServerLost(e.Time, e.Node)
}

// memberLost takes the field member.
func (m *Meter) memberLost(e seamevent.Event) {
	if name, ok := e.Fields["member"].(string); ok {
		m.ServerLost(e.Time, name)
	}
}

// slotField parses the field slot, service/index.
func slotField(f seamevent.Fields) (seamslot.ID, bool) {
	text, _ := f["slot"].(string)
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return seamslot.ID{}, false
	}
	index, err := strconv.ParseUint(text[i+1:], 10, 32)
	if err != nil {
		return seamslot.ID{}, false
	}
	return seamslot.ID{Service: text[:i], Index: uint32(index)}, true
}

// epochField returns the field epoch, which is a float64 once the event went through JSON.
func epochField(f seamevent.Fields) uint64 {
	switch e := f["epoch"].(type) {
	case uint64:
		return e
	case float64:
		return uint64(e)
	}
	return 0
}
