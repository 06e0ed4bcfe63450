package seamelection_test

import (
	"fmt"
	"testing"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamelection"
	"cardamomseam/internal/own/seamtable"
	wire "cardamomseam/internal/own/seamtablewire"
	"cardamomseam/internal/route/seamframe"
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

// A reply that is too large for one message would end the stream of the heartbeats, and the holder would lose its keys.
func TestTableOfAnySizeLeavesHeartbeatsAlive(t *testing.T) {
	for _, ranges := range []uint32{100, 5_000, 20_000} {
		t.Run(fmt.Sprintf("%d ranges", ranges), func(t *testing.T) {
			at := seamclock.Instant{}
			h := seamtable.Holder{Target: "i-1", Born: 1792134933169, Address: "10.0.0.1:8080"}
			table := seamtable.Table{Service: "calendar", Epoch: 1, Nodes: map[seamtable.Holder]seampeer.Peer{h: {Name: "n", Address: h.Address}}}
			for i := range ranges {
				// Every second key belongs to another holder, so that the holder's own list stays small.
				owner := seamtable.Holder{Target: fmt.Sprintf("i-%d", 2+i%50), Born: 1, Address: "10.0.0.2:8080"}
				table.Assign(seamtable.Span{From: i, To: i}, owner, "")
			}
			heartbeat := seamassign.HeartbeatToWire("calendar", 1, seamassign.Heartbeat{Epoch: 1 << 16, Holder: h, Node: table.Nodes[h], State: seamassign.Ready})
			heartbeat.Reader = true
			a := seamassign.New(seamassign.DefaultConfig(), at, seamtable.Assigner{Name: "assigner", Incarnation: 1, Epoch: 1 << 16}, seamclock.Instant{}, table, 1)
			a.Heartbeat(at, seamassign.HeartbeatFromWire(heartbeat))
			table.Epoch = 1 << 16
			a.WriteUncertain(at, table, 2)
			reply, _ := seamelection.NewLeader(a, []*wire.Beat{heartbeat}).Notify(time.Unix(1000, 0))
			if reply == 0 {
				t.Error("no reply")
			}
			if reply > seamframe.MaxMessageSize {
				t.Errorf("a reply of %d bytes; the largest message has %d", reply, seamframe.MaxMessageSize)
			}
		})
	}
}

// While most keys of a large service move, the table is written many times a second. What its assigner sends must fit the
// link of a small machine, and the nodes that pass tables on must get the last one.
func TestTablesOfALargeServiceFitTheLink(t *testing.T) {
	const (
		holders, readers = 115, 18
		rangesEach       = 5
		writes           = 20
		writeInterval    = 50 * time.Millisecond
		// linkBytes is what a link of 20 Mbit/s carries in a second.
		linkBytes = 20e6 / 8
	)
	now := time.Unix(1000, 0)
	at := func(d time.Duration) seamclock.Instant { return seamclock.Instant{Mono: d, Wall: d} }
	table := seamtable.Table{Service: "calendar", Epoch: 1, Nodes: map[seamtable.Holder]seampeer.Peer{}}
	var heartbeats []*wire.Beat
	const width = seamtable.Keys / (holders * rangesEach)
	for i := range uint32(holders) {
		h := seamtable.Holder{Target: fmt.Sprintf("i-%010d", i), Born: 1792134933169, Address: fmt.Sprintf("10.0.0.%d:8080", i)}
		table.Nodes[h] = seampeer.Peer{Name: fmt.Sprintf("node-of-calendar-%d", i), Incarnation: 1792134932065830, Address: h.Address, Region: "ost", Domain: "ost-1"}
		for n := range uint32(rangesEach) {
			from := (i*rangesEach + n) * width
			table.Assign(seamtable.Span{From: from, To: from + width - 1}, h, "")
		}
		heartbeat := seamassign.HeartbeatToWire("calendar", 1, seamassign.Heartbeat{Epoch: 1 << 16, Holder: h, Node: table.Nodes[h], State: seamassign.Ready})
		heartbeat.Reader = i < readers
		heartbeats = append(heartbeats, heartbeat)
	}
	self := seamtable.Assigner{Name: "assigner", Incarnation: 1, Epoch: 1 << 16}
	a := seamassign.New(seamassign.DefaultConfig(), at(0), self, seamclock.Instant{}, table, 1)
	leader := seamelection.NewLeader(a, heartbeats)
	for _, hb := range heartbeats {
		a.Heartbeat(at(0), seamassign.HeartbeatFromWire(hb))
	}
	sent, revision := 0, int64(1)
	tables := make([]int64, holders)
	record := func(bytes int, got []int64) {
		sent += bytes
		for i, r := range got {
			tables[i] = max(tables[i], r)
		}
	}
	for n := range writes {
		written := table.Clone()
		written.Epoch = self.Epoch
		for i := range written.Ranges {
			written.Ranges[i].Fence += uint64((n + 1) * len(written.Ranges))
		}
		revision++
		a.WriteUncertain(at(0), written, revision)
		record(leader.Notify(now.Add(time.Duration(n) * writeInterval)))
	}
	if sent > linkBytes {
		t.Errorf("%d bytes were sent in a second, want at most %.0f", sent, linkBytes)
	}
	record(leader.Notify(now.Add(2 * time.Second)))
	for i, got := range tables {
		if i < readers && got != revision {
			t.Errorf("reader %d got the table at revision %d, want %d", i, got, revision)
		}
	}
}
