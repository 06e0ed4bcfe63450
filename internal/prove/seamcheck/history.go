package seamcheck

import (
	"fmt"
	"sort"
	"time"

	"cardamomseam/internal/stand/seamstandtarget"
)

// historyEvent is one event in the history of a slot.
type historyEvent struct {
	at   int64
	text string
}

// historyKinds are the kinds of execution log lines included in a slot's history.
var historyKinds = map[string]bool{
	seamstandtarget.KindReleased:       true,
	seamstandtarget.KindState:          true,
	seamstandtarget.KindHandedOver:     true,
	seamstandtarget.KindHandoverFailed: true,
	seamstandtarget.KindSynced:         true,
	seamstandtarget.KindUnsynced:       true,
	seamstandtarget.KindStaleEpoch:     true,
}

// timeFormat is the format of the times in a history.
const timeFormat = "15:04:05.000"

// History returns text lines, sorted by time, that show who owned a slot and where its
// bookings were transferred.
func History(observations Observations, service string, slot uint32) []string {
	var events []historyEvent
	for _, v := range ownerships(observations)[slotKey{service: service, index: slot}] {
		events = append(events,
			historyEvent{v.from, fmt.Sprintf("%s owns the slot with epoch %d", v.server, v.epoch)},
			historyEvent{v.to, fmt.Sprintf("%s no longer owns the slot with epoch %d", v.server, v.epoch)})
	}
	for _, x := range observations.ExecutionLog {
		if historyKinds[x.Kind] && x.Service == service && x.Slot == slot {
			events = append(events, historyEvent{x.At, fmt.Sprintf("%s %s epoch %d bookings %d %s", x.Server, x.Kind, x.Epoch, x.Count, x.Standby)})
		}
	}
	for name, at := range observations.ExitTimes {
		events = append(events, historyEvent{at.UnixNano(), name + " exited"})
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	lines := make([]string, 0, len(events))
	for _, s := range events {
		lines = append(lines, time.Unix(0, s.at).Format(timeFormat)+" "+s.text)
	}
	return lines
}
