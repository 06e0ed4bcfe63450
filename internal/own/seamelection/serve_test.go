package seamelection_test

import (
	"testing"

	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
)

// While many keys move between other holders, the table is written again and again. A holder whose own keys stay
// must not be sent the table each time.
func TestUnaffectedHolderGetsNoUpdate(t *testing.T) {
	keys := func(from, to uint32) []seamtable.Range {
		return []seamtable.Range{{Span: seamtable.Span{From: from, To: to}, Fence: 3}}
	}
	var u seamelection.Updates
	for i, step := range []struct {
		reply seamassign.Reply
		want  bool
	}{
		{seamassign.Reply{Revision: 1, Ranges: keys(0, 99)}, true},
		{seamassign.Reply{Revision: 2, Ranges: keys(0, 99)}, false},
		{seamassign.Reply{Revision: 3, Ranges: keys(0, 99)}, false},
		{seamassign.Reply{Revision: 3, Ranges: keys(0, 99), Release: keys(50, 99)}, true},
		{seamassign.Reply{Revision: 4, Ranges: keys(0, 49)}, true},
		{seamassign.Reply{Revision: 5, Ranges: keys(0, 49)}, false},
	} {
		if got := u.Due(step.reply); got != step.want {
			t.Errorf("update %d: sent %t, want %t", i, got, step.want)
		}
	}
}
