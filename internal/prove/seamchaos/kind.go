package seamchaos

import (
	"context"
	"strconv"
	"strings"
	"time"

	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/prove/seamscenario"
	"cardamomseam/internal/prove/seamspread"
	"cardamomseam/internal/stand/seamstandstore"
	"cardamomseam/internal/stand/seamstandtarget"
)

// kind is a kind of fault. plan draws all random decisions, in the order of the seed, and
// returns the function that carries the fault out and heals it.
type kind struct {
	name string
	plan func(c *run) func(context.Context)
}

const (
	killName  = "kill"
	pauseName = "pause"
	stopName  = "stop"
	leaveName = "leave"
	cutName   = "partition"
)

// kinds are drawn with equal probability.
var kinds = []kind{
	{killName, planKill},
	{pauseName, planPause},
	{cutName, planPartition},
	{"isolate", planIsolate},
	{"sever", planSever},
	{"store", planStore},
	{"race", planRace},
	{stopName, planStop},
	{leaveName, planLeave},
}

// nothing is the plan when no instance is free.
func nothing(context.Context) {}

// between draws a time.
func (c *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.scene.Random.Int64N(int64(most-least)))
}

// standbyTime is the time that standbys have to catch up before another instance is lost.
const standbyTime = 3 * time.Second

func planKill(c *run) func(context.Context) {
	x, d := c.take(), c.between(500*time.Millisecond, 4*time.Second)
	if x == nil {
		return nothing
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.release(killName, x, from)
		c.scene.Logf("kill %s", x.Name)
		x.Kill()
		seamscenario.Sleep(ctx, d)
		if err := x.Start(); err != nil {
			c.scene.Logf("start of %s: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, standbyTime)
		c.say(from, "%s takes part again", x.Name)
	}
}

func planPause(c *run) func(context.Context) {
	x, d := c.take(), c.between(500*time.Millisecond, 6*time.Second)
	if x == nil {
		return nothing
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.release(pauseName, x, from)
		c.scene.Logf("pause %s", x.Name)
		x.Pause()
		seamscenario.Sleep(ctx, d)
		x.Resume()
		c.say(from, "%s resumed", x.Name)
	}
}

// planPartition holds the traffic from one group to another, in one direction or both.
func planPartition(c *run) func(context.Context) {
	a, b := c.groups()
	both := c.scene.Random.IntN(2) == 0
	d := c.between(500*time.Millisecond, 5*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scene.Logf("partition from %s to %s (both ways %t)", a, b, both)
		heal := c.scene.Fleet.Network.Partition(a, b)
		defer heal()
		if both {
			healBack := c.scene.Fleet.Network.Partition(b, a)
			defer healBack()
		}
		seamscenario.Sleep(ctx, d)
		c.noteGroup(cutName, a, from)
		c.noteGroup(cutName, b, from)
		c.say(from, "partition from %s to %s healed", a, b)
	}
}

// groups draws two different regions, failure domains or instances.
func (c *run) groups() (a, b string) {
	list := c.scene.Fleet.Instances
	first := list[c.scene.Random.IntN(len(list))]
	second := first
	for second.Region == first.Region {
		second = list[c.scene.Random.IntN(len(list))]
	}
	switch c.scene.Random.IntN(3) {
	case 0:
		return first.Region, second.Region
	case 1:
		return first.Domain, second.Domain
	}
	return first.Name, second.Region
}

// noteGroup records that the instances of a group suffered a fault.
func (c *run) noteGroup(k, group string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.scene.Fleet.Instances {
		if x.InGroup(group) {
			c.log = append(c.log, entry{kind: k, instance: x.Name, from: from, to: time.Now()})
		}
	}
}

// planIsolate cuts an instance or a failure domain off from everything, also from the store.
func planIsolate(c *run) func(context.Context) {
	list := c.scene.Fleet.Instances
	x := list[c.scene.Random.IntN(len(list))]
	group := x.Name
	if c.scene.Random.IntN(3) == 0 {
		group = x.Domain
	}
	d := c.between(500*time.Millisecond, 5*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scene.Logf("isolate %s", group)
		heal := c.scene.Fleet.Network.Isolate(group)
		seamscenario.Sleep(ctx, d)
		heal()
		c.noteGroup(cutName, group, from)
		c.say(from, "%s is reachable again", group)
	}
}

func planSever(c *run) func(context.Context) {
	a, b := c.groups()
	return func(context.Context) {
		c.scene.Logf("severed %d connections between %s and %s", c.scene.Fleet.Proxy.Sever(a, b), a, b)
	}
}

func planStore(c *run) func(context.Context) {
	f, d := seamspread.RandomFault(c.scene), c.between(time.Second, 6*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scene.Logf("store: %+v", f)
		if err := c.scene.Fleet.Store.SetFaults(ctx, f); err != nil {
			c.scene.Logf("store fault: %v", err)
		}
		seamscenario.Sleep(ctx, d)
		if err := c.scene.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
			c.scene.Logf("store fault: %v", err)
		}
		c.say(from, "store is healthy")
	}
}

// planRace lets two operators change the same document at once.
func planRace(c *run) func(context.Context) {
	list := c.scene.Fleet.Instances
	pair := []*seamfleet.Instance{list[c.scene.Random.IntN(len(list))], list[c.scene.Random.IntN(len(list))]}
	name := strconv.FormatUint(c.scene.Random.Uint64(), 36)
	return func(ctx context.Context) {
		done := make(chan struct{}, len(pair))
		for n, x := range pair {
			go func() {
				defer func() { done <- struct{}{} }()
				c.change(ctx, x, name+"-"+strconv.Itoa(n))
			}()
		}
		for range pair {
			<-done
		}
	}
}

func (c *run) change(ctx context.Context, x *seamfleet.Instance, name string) {
	if !x.Live() {
		return
	}
	r, err := x.PutRule(ctx, seamscenario.DocumentVariant(name))
	if err != nil {
		return
	}
	c.scene.Logf("change %s recorded through %s as revision %d", name, x.Name, r.Revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, r.Revision)
}

// newWorkLimit is the time after which a stopping node may give no new work to its target.
const newWorkLimit = 3 * time.Second

// planStop stops a node as planned and starts it again.
func planStop(c *run) func(context.Context) {
	x := c.take()
	if x == nil {
		return nothing
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.release(stopName, x, from)
		c.scene.Logf("stop %s", x.Name)
		if err := x.StopNode(); err != nil {
			c.scene.AddViolation(seamcheck.Violation{Kind: seamcheck.FailedStop, At: time.Now(), Detail: err.Error()})
		}
		c.say(from, "%s stopped", x.Name)
		c.checkNewWork(x, from, time.Now())
		if err := x.StartNode(); err != nil {
			c.scene.Logf("start of %s: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, time.Second)
	}
}

// planLeave lets a target announce that it leaves, stops it once its node has taken all work
// away, and starts a new run of it.
func planLeave(c *run) func(context.Context) {
	x := c.take()
	if x == nil {
		return nothing
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.release(leaveName, x, from)
		c.scene.Logf("target of %s leaves", x.Name)
		if err := x.StopTarget(); err != nil {
			c.scene.AddViolation(seamcheck.Violation{Kind: seamcheck.FailedStop, At: time.Now(), Detail: err.Error()})
		}
		c.say(from, "target of %s has left", x.Name)
		if err := x.StartTarget(); err != nil {
			c.scene.Logf("start of the target of %s: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, standbyTime)
	}
}

// checkNewWork looks for requests that began at a target too long after the order to stop.
func (c *run) checkNewWork(x *seamfleet.Instance, from, to time.Time) {
	e, err := c.scene.Fleet.CollectObservations(nil)
	if err != nil {
		c.scene.Logf("ledgers: %v", err)
		return
	}
	for _, l := range e.ExecutionLog {
		at := time.Unix(0, l.At)
		if l.Kind == seamstandtarget.KindRun && strings.HasPrefix(l.Server, x.Name+"-") && at.After(from.Add(newWorkLimit)) && at.Before(to) {
			c.scene.AddViolation(seamcheck.Violation{Kind: seamcheck.WorkAfterStop, At: at, Detail: l.Request + " began at " + l.Server})
			return
		}
	}
}
