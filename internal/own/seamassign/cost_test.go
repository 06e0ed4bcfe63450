package seamassign_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

const (
	// costRanges is the number of ranges of each of the loadTargets holders after hot keys were moved.
	costRanges = 12
	// costTickInterval is the time between two ticks while nothing happens.
	costTickInterval = 50 * time.Millisecond
	// smallestShare is the processor share of the smallest machine that may run an assigner.
	smallestShare = 0.16
)

// costModel sends the heartbeats of many holders to an assigner.
type costModel struct {
	assigner   *seamassign.Assigner
	heartbeats []seamassign.Heartbeat
	now        time.Duration
	revision   int64
}

func newCostModel(leaving int) *costModel {
	self := seamtable.Assigner{Name: "assigner", Incarnation: 1, Epoch: 1 << 16}
	const ranges = loadTargets * costRanges
	table := seamtable.Table{Service: "calendar", Epoch: 1, Fence: ranges}
	m := &costModel{revision: 1}
	for i := range loadTargets {
		m.heartbeats = append(m.heartbeats, seamassign.Heartbeat{
			Epoch:  self.Epoch,
			Holder: seamtable.Holder{Target: fmt.Sprintf("i-%010d", i), Born: 1792134933169, Address: fmt.Sprintf("10.0.0.%d:8080", i)},
			State:  seamassign.Ready,
			Load:   seamtable.Load{MaxConcurrency: loadSlots, ServiceTime: meanWork.Seconds(), Rate: loadRate / loadTargets},
		})
	}
	const width = seamtable.Keys / ranges
	for i := range uint32(ranges) {
		span := seamtable.Span{From: i * width, To: (i+1)*width - 1}
		table.Ranges = append(table.Ranges, seamtable.Range{Span: span, Holder: m.heartbeats[i%loadTargets].Holder, Fence: uint64(i + 1)})
	}
	m.assigner = seamassign.New(seamassign.DefaultConfig(), loadInstant(0), self, seamclock.Instant{}, table, m.revision)
	m.tick()
	m.playSecond()
	for i := range leaving {
		m.heartbeats[i].State = seamassign.Leaving
	}
	return m
}

// playSecond sends each holder's heartbeats of one second.
func (m *costModel) playSecond() {
	const count = int(loadTargets * time.Second / loadHeartbeatInterval)
	lastTick := m.now
	for i := range count {
		m.now += time.Second / time.Duration(count)
		hb := &m.heartbeats[i%loadTargets]
		hb.Revision = m.revision
		m.assigner.Heartbeat(loadInstant(m.now), *hb)
		if m.assigner.WritePending() || m.now >= lastTick+costTickInterval {
			m.tick()
			lastTick = m.now
		}
	}
}

func (m *costModel) tick() {
	m.assigner.Tick(loadInstant(m.now))
	if t, _, ok := m.assigner.PendingWrite(); ok {
		m.revision++
		m.assigner.WriteSucceeded(t, m.revision)
	}
}

// The assigner of a large service must leave its machine room for requests and calls, also while targets leave.
func TestAssignerOfALargeServiceLeavesRoom(t *testing.T) {
	for _, leaving := range []int{0, 14} {
		t.Run(fmt.Sprintf("%d leaving", leaving), func(t *testing.T) {
			m := newCostModel(leaving)
			before := processorTime(t)
			m.playSecond()
			if share := (processorTime(t) - before).Seconds(); share > smallestShare*raceFactor {
				t.Errorf("a second of heartbeats took %.3f s of processor time, want less than the %.2f s of the smallest machine", share, smallestShare)
			}
		})
	}
}

// TestAssignerOfALargeServiceLeavesRoomWhileADomainIsEvacuated guards against a plan for the holders of a whole failure domain that takes
// the assigner's machine longer than leases last.
func TestAssignerOfALargeServiceLeavesRoomWhileADomainIsEvacuated(t *testing.T) {
	m := newCostModel(0)
	for i := range m.heartbeats {
		m.heartbeats[i].Node = seampeer.Peer{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%6)}
	}
	m.playSecond()
	m.assigner.SetPlacement(seamtable.Placement{ExcludedDomains: []string{"d2"}})
	before := processorTime(t)
	m.playSecond()
	if share := (processorTime(t) - before).Seconds(); share > smallestShare*raceFactor {
		t.Errorf("the second in which a domain is evacuated took %.3f s of processor time, want less than the %.2f s of the smallest machine", share, smallestShare)
	}
	if m.assigner.Version().Moves == 0 {
		t.Error("no key moves")
	}
}

// processorTime returns the processor time of the calling thread, which the test keeps from then on.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func BenchmarkSecondOfHeartbeats(b *testing.B) {
	for _, leaving := range []int{0, 14} {
		b.Run(fmt.Sprintf("%d leaving", leaving), func(b *testing.B) {
			m := newCostModel(leaving)
			for b.Loop() {
				m.playSecond()
			}
		})
	}
}

// The keys of a target that leaves or is lost go to a few holders: each piece is a range of the table, with a release and a grant of its own.
func TestKeysOfAHolderAreSplitIntoFewRanges(t *testing.T) {
	const maxPieces = costRanges + 8
	m := newCostModel(1)
	m.tick()
	reply, ok := m.assigner.Update(m.heartbeats[0].Holder)
	if !ok || len(reply.Release) > 0 {
		t.Fatalf("%d releases before the target leaves", len(reply.Release))
	}
	m.playSecond()
	reply, _ = m.assigner.Update(m.heartbeats[0].Holder)
	if n := len(reply.Release); n < costRanges || n > maxPieces {
		t.Errorf("the keys leave in %d pieces, want %d to %d", n, costRanges, maxPieces)
	}
	before := len(m.assigner.Table().Ranges)
	m.heartbeats[1].State = seamassign.Dead
	m.playSecond()
	if n := len(m.assigner.Table().Ranges) - before; n < 0 || n > maxPieces-costRanges {
		t.Errorf("the keys of a lost target make %d more ranges, want at most %d", n, maxPieces-costRanges)
	}
}
