// Command case4 sends a node one heartbeat that names a service which no configuration has.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomseam/review/stand"
)

func main() { stand.Run(play) }

// foreignHeartbeat is a heartbeat of another writer.
const foreignHeartbeat = `{"address":"127.0.0.1:9","born":%d,"info":{"service":"elsewhere","version":"v1","zone":"erie-a","slots":9},` +
	`"status":{"state":"ready","sequence":1,"warmup_left_ms":0}}`

func play(d *stand.Deployment, trouble bool) (breach string, err error) {
	for _, p := range []stand.Place{
		{Node: "calendar-1", Region: "erie", Zone: "erie-a", Service: "calendar"},
		{Node: "booker-1", Region: "erie", Zone: "erie-b", Service: "booker"},
		{Node: "booker-2", Region: "superior", Zone: "superior-a", Service: "booker"},
	} {
		if err := d.Add(p); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	wrong, first := 0, ""
	for _, t := range d.Targets[1:] {
		t.OnRun = func(r *http.Request) {
			caller := r.Header.Get("Cardamomseam-Caller-Service")
			d.Record.Add("request=%s came with the caller service %q", r.Header.Get("Cardamomseam-Request-Id"), caller)
			mu.Lock()
			defer mu.Unlock()
			if caller == "calendar" {
				return
			}
			if wrong++; wrong == 1 {
				first = fmt.Sprintf("request %s began at the machine of a target of calendar and ran with the caller service %q", r.Header.Get("Cardamomseam-Request-Id"), caller)
			}
		}
	}
	if !stand.Until(20*time.Second, func() bool { return d.Ownership.Covered() == 1 }) {
		return "", fmt.Errorf("only %.3f of the keys were granted", d.Ownership.Covered())
	}
	c := d.Callers
	c.Host, c.Path, c.Keyed, c.Rate, c.Deadline = "booking.example", "/booking/", false, 20, time.Second
	origin := d.Nodes[0]
	c.Use(origin)
	c.Start()
	time.Sleep(3 * time.Second)
	if trouble {
		if err := sendHeartbeat(d.Record, origin); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	c.Stop()
	mu.Lock()
	defer mu.Unlock()
	d.Record.Add("requests %+v, with a wrong caller service %d; share of the keys held %.3f", c.Tally(), wrong, d.Ownership.Covered())
	if c.Tally().Served == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if wrong > 0 {
		return fmt.Sprintf("UNASKED, %d times, first: %s", wrong, first), nil
	}
	return "", nil
}

// sendHeartbeat sends the foreign heartbeat to the address at which the node takes heartbeats.
func sendHeartbeat(record *stand.Record, n *stand.Node) error {
	body := fmt.Sprintf(foreignHeartbeat, time.Now().UnixMilli())
	r, err := http.NewRequest(http.MethodPut, "http://"+n.Announce+"/instances/i-elsewhere", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	record.Add("foreign heartbeat %s to node %s answered with %d", body, n.Name, res.StatusCode)
	return nil
}
