package seamcaller_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/stand/seamstandtarget"
)

func target(t *testing.T, behaviour seamstandtarget.Behaviour, slots int) *seamstandtarget.Target {
	t.Helper()
	x, stop, err := seamstandtarget.New(seamstandtarget.Config{
		Service: "galerie", Name: "a", Address: "127.0.0.1:0", Slots: slots, Behaviour: behaviour,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return x
}

func direct(t *testing.T, address string) *seamcaller.Client {
	t.Helper()
	c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return []string{address} })
	c.Direct = true
	t.Cleanup(stop)
	return c
}

func echoes(n int) seamcaller.Request {
	return seamcaller.Request{ID: fmt.Sprintf("r%d", n), Kind: seamcaller.Echo, Service: "galerie", Size: 100}
}

func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	x := target(t, seamstandtarget.Behaviour{ServiceMicros: 200_000}, 100)
	records := &seamcaller.Records{}
	report := direct(t, x.Address()).Run(context.Background(), seamcaller.Load{
		Rate: 100, Duration: 200 * time.Millisecond, Next: echoes, Records: records,
	})
	if report.Sent != 20 || report.Outcomes[seamcaller.Done] != 20 || len(records.All()) != 20 {
		t.Errorf("report is %+v", report)
	}
	if q := report.Quantile(50); q < 200*time.Millisecond {
		t.Errorf("median is %s", q)
	}
}

func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	tests := []struct {
		name    string
		address string
		want    seamcaller.Outcome
	}{
		{"answered", target(t, seamstandtarget.Behaviour{}, 1).Address(), seamcaller.Done},
		{"shed", target(t, seamstandtarget.Behaviour{ShedProbability: 1}, 1).Address(), seamcaller.Refused},
		{"no node", closed.Addr().String(), seamcaller.Unreached},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if x := direct(t, test.address).Send(context.Background(), echoes(1)); x.Outcome != test.want {
				t.Errorf("outcome is %s (%s)", x.Outcome, x.Reason)
			}
		})
	}
}

func TestDowntimes(t *testing.T) {
	zero := time.Unix(100, 0)
	record := func(key string, outcome seamcaller.Outcome, start, end int) seamcaller.Record {
		return seamcaller.Record{
			Service: "s", Key: key, Outcome: outcome, Status: 200,
			Start: zero.Add(time.Duration(start) * time.Second), End: zero.Add(time.Duration(end) * time.Second),
		}
	}
	records := []seamcaller.Record{
		record("a", seamcaller.Done, -1, 1),
		record("a", seamcaller.Refused, 1, 1),
		record("a", seamcaller.Done, 2, 3),
		record("b", seamcaller.Unknown, 1, 4),
	}
	gaps := seamcaller.Downtimes(records, zero, zero.Add(9*time.Second))
	lengths := map[string]time.Duration{}
	for _, g := range gaps {
		lengths[g.Key] = g.Duration
	}
	if lengths["a"] != 3*time.Second || lengths["b"] != 9*time.Second {
		t.Errorf("gaps are %v", lengths)
	}
	if g := seamcaller.LongestDowntime(gaps); g.Key != "b" || g.Served {
		t.Errorf("longest gap is %+v", g)
	}
}
