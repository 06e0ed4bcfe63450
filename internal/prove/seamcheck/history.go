package seamcheck

import (
	"fmt"
	"sort"
	"time"

	"cardamomseam/internal/stand/seamstandtarget"
)

// step is one step in the history of a slot.
type historyEvent struct {
	at   int64
	text string
}

// told are the kinds of lines that a slot's history tells.
var historyKinds = map[string]bool{
	seamstandtarget.KindReleased: true,
	seamstandtarget.KindState:    true,
	seamstandtarget.KindHanded:   true,
	seamstandtarget.KindUnhanded: true,
	seamstandtarget.KindSynced:   true,
	seamstandtarget.KindUnsynced: true,
	seamstandtarget.KindStale:    true,
}

// clockFormat is the form of the times in a history.
const timeFormat = "15:04:05.000"

// History tells in order of time who held a slot, and where its bookings went.
func History(e Observations, service string, slot uint32) []string {
	var steps []historyEvent
	for _, v := range ownerships(e)[slotKey{service: service, index: slot}] {
		steps = append(steps,
			historyEvent{v.from, fmt.Sprintf("%s holds the slot with epoch %d", v.server, v.epoch)},
			historyEvent{v.to, fmt.Sprintf("%s no longer holds the slot with epoch %d", v.server, v.epoch)})
	}
	for _, x := range e.ExecutionLog {
		if historyKinds[x.Kind] && x.Service == service && x.Slot == slot {
			steps = append(steps, historyEvent{x.At, fmt.Sprintf("%s %s epoch %d bookings %d %s", x.Server, x.Kind, x.Epoch, x.Count, x.Standby)})
		}
	}
	for name, at := range e.ExitTimes {
		steps = append(steps, historyEvent{at.UnixNano(), name + " was killed"})
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	lines := make([]string, 0, len(steps))
	for _, s := range steps {
		lines = append(lines, time.Unix(0, s.at).Format(timeFormat)+" "+s.text)
	}
	return lines
}
