package seamstandtarget_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/stand/seamstandtarget"
)

const life = 2000

func start(t *testing.T, name string) *seamstandtarget.Target {
	t.Helper()
	x, stop, err := seamstandtarget.New(seamstandtarget.Config{
		Service: "calendar", Name: name, Address: "127.0.0.1:0",
		Capabilities: []string{seamtarget.CanGrant, seamtarget.CanFence, seamtarget.CanStandby},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return x
}

func send(t *testing.T, method, url string, body any, header map[string]string) (int, seamstandtarget.Receipt) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var receipt seamstandtarget.Receipt
	_ = json.NewDecoder(answer.Body).Decode(&receipt)
	return answer.StatusCode, receipt
}

func grant(t *testing.T, x *seamstandtarget.Target, sequence uint64, milliseconds int, slots ...seamtarget.SlotGrant) int {
	t.Helper()
	o := seamtarget.GrantRequest{Incarnation: 1, Sequence: sequence, TTLMillis: milliseconds, Full: true, Slots: slots}
	status, _ := send(t, http.MethodPut, "http://"+x.Address()+seamtarget.GrantPath, o, nil)
	return status
}

func book(t *testing.T, x *seamstandtarget.Target, id string, slot uint32, epoch uint64) (int, seamstandtarget.Receipt) {
	t.Helper()
	return send(t, http.MethodPost, "http://"+x.Address()+seamstandtarget.BookPath, nil, map[string]string{
		seamstandtarget.IDHeader: id,
		seamheader.Key:           "house",
		seamheader.Slot:          strconv.Itoa(int(slot)),
		seamheader.Epoch:         strconv.FormatUint(epoch, 10),
	})
}

func TestFencing(t *testing.T) {
	x := start(t, "a")
	if status := grant(t, x, 2, life, seamtarget.SlotGrant{Slot: 3, Epoch: 7}); status != http.StatusNoContent {
		t.Fatalf("grant answered %d", status)
	}
	tests := []struct {
		name   string
		slot   uint32
		epoch  uint64
		status int
	}{
		{"held", 3, 7, http.StatusOK},
		{"older epoch", 3, 6, http.StatusConflict},
		{"newer epoch", 3, 8, http.StatusConflict},
		{"other slot", 4, 7, http.StatusConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if status, _ := book(t, x, test.name, test.slot, test.epoch); status != test.status {
				t.Errorf("booking answered %d, not %d", status, test.status)
			}
		})
	}
	if status := grant(t, x, 1, life); status != http.StatusConflict {
		t.Errorf("older orders answered %d", status)
	}
}

func TestGrantExpires(t *testing.T) {
	x := start(t, "a")
	grant(t, x, 1, 30, seamtarget.SlotGrant{Slot: 3, Epoch: 7})
	time.Sleep(60 * time.Millisecond)
	if status, _ := book(t, x, "late", 3, 7); status != http.StatusConflict {
		t.Errorf("booking after the life of the orders answered %d", status)
	}
}

func TestStandbyHasAcknowledgedBookings(t *testing.T) {
	owner, standby := start(t, "a"), start(t, "b")
	slot := seamtarget.SlotGrant{Slot: 3, Epoch: 7, Standby: standby.Address()}
	grant(t, owner, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 7})
	book(t, owner, "before", 3, 7)
	grant(t, owner, 2, life, slot)
	time.Sleep(100 * time.Millisecond)
	if status, _ := book(t, owner, "after", 3, 7); status != http.StatusOK {
		t.Fatalf("booking answered %d", status)
	}
	grant(t, standby, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 8})
	_, receipt := book(t, standby, "next", 3, 8)
	if diff := cmp.Diff([]string{"before", "after", "next"}, receipt.IDs); diff != "" {
		t.Error(diff)
	}
	if status, _ := book(t, owner, "fenced", 3, 7); status != http.StatusConflict {
		t.Errorf("old owner acknowledged a booking that its standby refused: %d", status)
	}
}

func TestHandover(t *testing.T) {
	from, to := start(t, "a"), start(t, "b")
	grant(t, from, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 7})
	book(t, from, "one", 3, 7)
	h := seamtarget.Handover{Slot: 3, Epoch: 7, Successor: to.Address()}
	if status, _ := send(t, http.MethodPost, "http://"+from.Address()+seamtarget.HandoverPath, h, nil); status != http.StatusNoContent {
		t.Fatalf("handover answered %d", status)
	}
	if status, _ := book(t, from, "two", 3, 7); status != http.StatusConflict {
		t.Errorf("released slot answered %d", status)
	}
	grant(t, to, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 8})
	_, receipt := book(t, to, "two", 3, 8)
	if diff := cmp.Diff([]string{"one", "two"}, receipt.IDs); diff != "" {
		t.Error(diff)
	}
}

func TestHandoverOfRemovedSlot(t *testing.T) {
	from, to := start(t, "a"), start(t, "b")
	grant(t, from, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 7})
	book(t, from, "one", 3, 7)
	grant(t, from, 2, life)
	for epoch, status := range map[uint64]int{6: http.StatusConflict, 7: http.StatusNoContent} {
		h := seamtarget.Handover{Slot: 3, Epoch: epoch, Successor: to.Address()}
		if got, _ := send(t, http.MethodPost, "http://"+from.Address()+seamtarget.HandoverPath, h, nil); got != status {
			t.Errorf("handover of epoch %d answered %d, not %d", epoch, got, status)
		}
	}
	grant(t, to, 1, life, seamtarget.SlotGrant{Slot: 3, Epoch: 8})
	_, receipt := book(t, to, "two", 3, 8)
	if diff := cmp.Diff([]string{"one", "two"}, receipt.IDs); diff != "" {
		t.Error(diff)
	}
}

func TestShedRequestDoesNotRun(t *testing.T) {
	x := start(t, "a")
	x.SetBehaviour(seamstandtarget.Behaviour{ShedProbability: 1})
	status, _ := send(t, http.MethodGet, "http://"+x.Address()+seamstandtarget.EchoPath, nil, nil)
	if status != http.StatusServiceUnavailable {
		t.Errorf("shedding target answered %d", status)
	}
	for _, l := range x.ExecutionRecords() {
		if l.Kind == seamstandtarget.KindRun {
			t.Error("a shed request stands in the ledger as run")
		}
	}
}

func TestPatternDiffersPerRequest(t *testing.T) {
	a, b := seamstandtarget.Pattern("r1", 1000), seamstandtarget.Pattern("r2", 1000)
	if len(a) != 1000 || bytes.Equal(a[2:], b[2:]) {
		t.Error("patterns of two requests are equal or have the wrong size")
	}
}
