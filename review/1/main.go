// Command case1 plays a drill of the store after a target has joined. Later the node of the assigner is restarted as planned.
package main

import (
	"fmt"
	"time"

	"cardamomseam/review/stand"
)

func main() { stand.Run(play) }

const (
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 4 * time.Second
	// calm is the time between the drill and the planned restart.
	calm = 8 * time.Second
)

func play(d *stand.Deployment, trouble bool) (breach string, err error) {
	if err := d.AddAll([]stand.Place{
		{Node: "calendar-1", Region: "erie", Zone: "erie-a", Service: "calendar"},
		{Node: "calendar-2", Region: "superior", Zone: "superior-a", Service: "calendar"},
		{Node: "booker-1", Region: "erie", Zone: "erie-b", Service: "booker"},
		{Node: "booker-2", Region: "superior", Zone: "superior-b", Service: "booker"},
	}); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	copied := d.Store.Copy()
	d.Record.Add("the store is copied")
	if err := d.Add(stand.Place{Node: "calendar-3", Region: "erie", Zone: "erie-b", Service: "calendar"}); err != nil {
		return "", err
	}
	joined := d.Targets[len(d.Targets)-1]
	if !stand.Until(8*time.Second, func() bool { return d.Ownership.Share(joined) > 0.05 }) {
		return "", fmt.Errorf("the new target holds only %.3f of the keys", d.Ownership.Share(joined))
	}
	d.Record.Add("the new target holds %.3f of the keys", d.Ownership.Share(joined))
	time.Sleep(copyAge - copied.Age())
	if trouble {
		d.Drill(copied)
	}
	time.Sleep(calm)
	assigner := d.Assigner()
	if assigner == nil {
		return "", fmt.Errorf("no assigner is known")
	}
	d.Record.Add("the assigner runs at node %s", assigner.Name)
	d.CallOthers(assigner)
	if err := d.Restart(assigner); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	d.Callers.Stop()
	return d.Ownership.Breach(), nil
}
