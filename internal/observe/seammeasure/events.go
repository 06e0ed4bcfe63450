package seammeasure

import (
	"strconv"
	"strings"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamslot"
)

// ObserveEvent updates the meter with an event of a node. The caller merges the events of
// several nodes in time order. Events that do not change ownership are ignored.
func (m *Meter) ObserveEvent(e seamevent.Event) {
	if f, ok := eventHandlers[e.Name]; ok {
		f(m, e)
	}
}

// eventHandlers maps the names of the events that change ownership to their handlers.
var eventHandlers = map[string]func(*Meter, seamevent.Event){
	seamevent.SlotGranted:    (*Meter).onSlotGranted,
	seamevent.SlotReleased:   (*Meter).onSlotReleased,
	seamevent.SlotsExpired:   (*Meter).onSlotsExpired,
	seamevent.CellMemberLost: (*Meter).onMemberLost,
}

// onSlotGranted reads the fields slot and epoch.
func (m *Meter) onSlotGranted(e seamevent.Event) {
	if id, ok := slotField(e.Fields); ok {
		m.OwnerAssigned(e.Time, id, e.Node, epochField(e.Fields))
	}
}

// onSlotReleased reads the field slot.
func (m *Meter) onSlotReleased(e seamevent.Event) {
	if id, ok := slotField(e.Fields); ok {
		m.OwnerReleased(e.Time, id, e.Node)
	}
}

// onSlotsExpired handles the expiry of all grants of a node.
func (m *Meter) onSlotsExpired(e seamevent.Event) {
	m.ServerLost(e.Time, e.Node)
}

// onMemberLost reads the field member.
func (m *Meter) onMemberLost(e seamevent.Event) {
	if name, ok := e.Fields["member"].(string); ok {
		m.ServerLost(e.Time, name)
	}
}

// slotField parses the field slot, which has the form service/index.
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

// epochField returns the field epoch, which is a float64 if the event was decoded from JSON.
func epochField(f seamevent.Fields) uint64 {
	switch e := f["epoch"].(type) {
	case uint64:
		return e
	case float64:
		return uint64(e)
	}
	return 0
}
