package seamcheck

import (
	"fmt"
	"sort"
	"time"

	"cardamomseam/internal/stand/seamstandtarget"
)

// step is one step in the history of a slot.
type step struct {
	at   int64
	text string
}

// told are the kinds of lines that a slot's history tells.
var told = map[string]bool{
	seamstandtarget.KindReleased:       true,
	seamstandtarget.KindState:          true,
	seamstandtarget.KindHandedOver:     true,
	seamstandtarget.KindHandoverFailed: true,
	seamstandtarget.KindSynced:         true,
	seamstandtarget.KindUnsynced:       true,
	seamstandtarget.KindStaleEpoch:     true,
}

// clockFormat is the form of the times in a history.
const clockFormat = "15:04:05.000"

// History tells in order of time who held a slot, and where its bookings went.
func History(e Observations, service string, slot uint32) []string {
	var steps []step
	for _, v := range holdings(e)[slotName{service: service, index: slot}] {
		steps = append(steps,
			step{v.from, fmt.Sprintf("%s holds the slot with epoch %d", v.server, v.epoch)},
			step{v.to, fmt.Sprintf("%s no longer holds the slot with epoch %d", v.server, v.epoch)})
	}
	for _, x := range e.ExecutionLog {
		if told[x.Kind] && x.Service == service && x.Slot == slot {
			steps = append(steps, step{x.At, fmt.Sprintf("%s %s epoch %d bookings %d %s", x.Server, x.Kind, x.Epoch, x.Count, x.Standby)})
		}
	}
	for name, at := range e.ExitTimes {
		steps = append(steps, step{at.UnixNano(), name + " was killed"})
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	lines := make([]string, 0, len(steps))
	for _, s := range steps {
		lines = append(lines, time.Unix(0, s.at).Format(clockFormat)+" "+s.text)
	}
	return lines
}
