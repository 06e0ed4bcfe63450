package stand

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Place is where one node and its target run.
type Place struct {
	Node, Region, Zone, Service string
}

// Deployment is a store, nodes and targets, with callers of the keyed service.
type Deployment struct {
	Record    *Record
	Store     *Store
	Fleet     *Fleet
	Ownership *Ownership
	Callers   *Callers
	// Slots is the number of requests that each target says to run concurrently.
	Slots   int
	Nodes   []*Node
	Targets []*Target
}

// slots is the number of requests that a target usually says to run concurrently, and work how long each takes.
const (
	slots = 12
	work  = 60 * time.Millisecond
)

// NewDeployment starts a store and writes the configuration.
func NewDeployment(root, dir, recordPath string) (*Deployment, error) {
	record, err := OpenRecord(recordPath)
	if err != nil {
		return nil, err
	}
	store, address, err := StartStore(record)
	if err != nil {
		return nil, err
	}
	store.Put("op/config", Configuration("r7"))
	return &Deployment{
		Record:    record,
		Store:     store,
		Fleet:     &Fleet{Root: root, Dir: dir, Store: address, Record: record},
		Ownership: NewOwnership(record),
		Slots:     slots,
		Callers: &Callers{
			Record: record, Host: "lookup.example", Path: "/lookup/", Rate: 60, Deadline: 800 * time.Millisecond, Keyed: true,
		},
	}, nil
}

// Add starts a node and its target.
func (d *Deployment) Add(p Place) error {
	n, err := d.Fleet.Node(p.Node, p.Region, p.Zone, p.Service)
	if err != nil {
		return err
	}
	t := &Target{ID: "i-" + p.Node, Service: p.Service, Zone: p.Zone, Slots: d.Slots, Work: work, Keyed: p.Service == "calendar"}
	d.Nodes, d.Targets = append(d.Nodes, n), append(d.Targets, t)
	return t.Start(d.Record, d.Ownership, n.Announce)
}

// AddAll starts the nodes and targets, waits until all keys are granted and lets the callers start.
func (d *Deployment) AddAll(places []Place) error {
	for _, p := range places {
		if err := d.Add(p); err != nil {
			return err
		}
	}
	if !Until(20*time.Second, func() bool { return d.Ownership.Covered() == 1 }) {
		return fmt.Errorf("only %.3f of the keys were granted", d.Ownership.Covered())
	}
	d.Callers.Use(d.Nodes...)
	d.Callers.Start()
	return nil
}

// Assigner returns the node that the record of the assigner of the keyed service names, nil if there is none.
func (d *Deployment) Assigner() *Node {
	value := string(d.Store.Value("own/office/calendar"))
	for _, n := range d.Nodes {
		if strings.Contains(value, n.Name) {
			return n
		}
	}
	return nil
}

// CallOthers makes the callers use all nodes but the given ones.
func (d *Deployment) CallOthers(left ...*Node) {
	var others []*Node
	for _, n := range d.Nodes {
		if !slices.Contains(left, n) {
			others = append(others, n)
		}
	}
	d.Callers.Use(others...)
}

// Drill takes the store away for a moment and has it come back from the copy.
func (d *Deployment) Drill(c Copy) {
	d.Store.SetAway(true)
	time.Sleep(storeAway)
	d.Record.Add("the store comes back from a copy that is %v old", c.Age().Round(time.Millisecond))
	d.Store.Restore(c)
}

// storeAway is how long the store is away in a drill.
const storeAway = 600 * time.Millisecond

// RestartTarget ends a target at once, as a crash does, and starts it again after a pause at the same address, with another id. Its
// first heartbeat arrives late.
func (d *Deployment) RestartTarget(i int, id string, pause, late time.Duration) error {
	old := d.Targets[i]
	d.Record.Add("target %s crashes", old.ID)
	old.Stop()
	time.Sleep(pause)
	t := &Target{ID: id, Service: old.Service, Zone: old.Zone, Slots: old.Slots, Work: work, Keyed: old.Keyed, Listen: old.Address, Quiet: late}
	d.Targets[i] = t
	d.Record.Add("target %s starts at the address of %s", t.ID, old.ID)
	return t.Start(d.Record, d.Ownership, d.Nodes[i].Announce)
}
