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

// faultKind is a kind of fault. prepare makes all random decisions, so that their order depends
// only on the seed, and returns the function that injects the fault and ends it.
type faultKind struct {
	name    string
	prepare func(c *chaosRun) func(context.Context)
}

const (
	killName      = "kill"
	pauseName     = "pause"
	stopName      = "stop"
	leaveName     = "leave"
	partitionName = "partition"
)

// faultKinds are chosen with equal probability.
var faultKinds = []faultKind{
	{killName, prepareKill},
	{pauseName, preparePause},
	{partitionName, preparePartition},
	{"isolate", prepareIsolation},
	{"sever", prepareSever},
	{"store", prepareStoreFault},
	{"race", prepareRuleRace},
	{stopName, prepareStop},
	{leaveName, prepareLeave},
}

// noFault is used when no instance is available for a fault.
func noFault(context.Context) {}

// randomDuration returns a random duration between shortest and longest.
func (c *chaosRun) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(c.scenario.Random.Int64N(int64(longest-shortest)))
}

// standbySyncDelay is the time given to standbys to synchronize before the instance is released
// to other faults.
const standbySyncDelay = 3 * time.Second

func prepareKill(c *chaosRun) func(context.Context) {
	x, d := c.acquireInstance(), c.randomDuration(500*time.Millisecond, 4*time.Second)
	if x == nil {
		return noFault
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.releaseInstance(killName, x, from)
		c.scenario.Logf("kill %s", x.Name)
		x.Kill()
		seamscenario.Sleep(ctx, d)
		if err := x.Start(); err != nil {
			c.scenario.Logf("start of %s failed: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, standbySyncDelay)
		c.logElapsed(from, "fault of %s has ended", x.Name)
	}
}

func preparePause(c *chaosRun) func(context.Context) {
	x, d := c.acquireInstance(), c.randomDuration(500*time.Millisecond, 6*time.Second)
	if x == nil {
		return noFault
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.releaseInstance(pauseName, x, from)
		c.scenario.Logf("pause %s", x.Name)
		x.Pause()
		seamscenario.Sleep(ctx, d)
		x.Resume()
		c.logElapsed(from, "%s resumed", x.Name)
	}
}

// preparePartition blocks the traffic between two groups, in one or both directions.
func preparePartition(c *chaosRun) func(context.Context) {
	a, b := c.randomGroups()
	both := c.scenario.Random.IntN(2) == 0
	d := c.randomDuration(500*time.Millisecond, 5*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scenario.Logf("partition from %s to %s (both directions: %t)", a, b, both)
		heal := c.scenario.Fleet.Network.Partition(a, b)
		defer heal()
		if both {
			healBack := c.scenario.Fleet.Network.Partition(b, a)
			defer healBack()
		}
		seamscenario.Sleep(ctx, d)
		c.recordGroupFault(partitionName, a, from)
		c.recordGroupFault(partitionName, b, from)
		c.logElapsed(from, "partition from %s to %s healed", a, b)
	}
}

// randomGroups returns two random groups in different regions: two regions, two failure domains,
// or an instance and a region.
func (c *chaosRun) randomGroups() (a, b string) {
	list := c.scenario.Fleet.Instances
	first := list[c.scenario.Random.IntN(len(list))]
	second := first
	for second.Region == first.Region {
		second = list[c.scenario.Random.IntN(len(list))]
	}
	switch c.scenario.Random.IntN(3) {
	case 0:
		return first.Region, second.Region
	case 1:
		return first.Domain, second.Domain
	}
	return first.Name, second.Region
}

// recordGroupFault records a fault of all instances of a group.
func (c *chaosRun) recordGroupFault(kind, group string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.scenario.Fleet.Instances {
		if x.InGroup(group) {
			c.faultLog = append(c.faultLog, faultRecord{kind: kind, instance: x.Name, from: from, to: time.Now()})
		}
	}
}

// prepareIsolation cuts an instance or a failure domain off from all other nodes and the store.
func prepareIsolation(c *chaosRun) func(context.Context) {
	list := c.scenario.Fleet.Instances
	x := list[c.scenario.Random.IntN(len(list))]
	group := x.Name
	if c.scenario.Random.IntN(3) == 0 {
		group = x.Domain
	}
	d := c.randomDuration(500*time.Millisecond, 5*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scenario.Logf("isolate %s", group)
		heal := c.scenario.Fleet.Network.Isolate(group)
		seamscenario.Sleep(ctx, d)
		heal()
		c.recordGroupFault(partitionName, group, from)
		c.logElapsed(from, "%s is reachable again", group)
	}
}

func prepareSever(c *chaosRun) func(context.Context) {
	a, b := c.randomGroups()
	return func(context.Context) {
		c.scenario.Logf("severed %d connections between %s and %s", c.scenario.Fleet.Proxy.Sever(a, b), a, b)
	}
}

func prepareStoreFault(c *chaosRun) func(context.Context) {
	f, d := seamspread.RandomFault(c.scenario), c.randomDuration(time.Second, 6*time.Second)
	return func(ctx context.Context) {
		from := time.Now()
		c.scenario.Logf("set store faults: %+v", f)
		if err := c.scenario.Fleet.Store.SetFaults(ctx, f); err != nil {
			c.scenario.Logf("set store faults failed: %v", err)
		}
		seamscenario.Sleep(ctx, d)
		if err := c.scenario.Fleet.Store.SetFaults(ctx, seamstandstore.Faults{}); err != nil {
			c.scenario.Logf("clear store faults failed: %v", err)
		}
		c.logElapsed(from, "store fault has ended")
	}
}

// prepareRuleRace changes the same rule document twice at the same time, through two random nodes.
func prepareRuleRace(c *chaosRun) func(context.Context) {
	list := c.scenario.Fleet.Instances
	pair := []*seamfleet.Instance{list[c.scenario.Random.IntN(len(list))], list[c.scenario.Random.IntN(len(list))]}
	name := strconv.FormatUint(c.scenario.Random.Uint64(), 36)
	return func(ctx context.Context) {
		done := make(chan struct{}, len(pair))
		for n, x := range pair {
			go func() {
				defer func() { done <- struct{}{} }()
				c.changeRules(ctx, x, name+"-"+strconv.Itoa(n))
			}()
		}
		for range pair {
			<-done
		}
	}
}

func (c *chaosRun) changeRules(ctx context.Context, x *seamfleet.Instance, name string) {
	if !x.Live() {
		return
	}
	r, err := x.PutRule(ctx, seamscenario.DocumentVariant(name))
	if err != nil {
		return
	}
	c.scenario.Logf("change %s recorded through %s as revision %d", name, x.Name, r.Revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, r.Revision)
}

// maxWorkAfterStop is the time after which a stopping node must not send new work to its target.
const maxWorkAfterStop = 3 * time.Second

// prepareStop stops a node gracefully and starts it again.
func prepareStop(c *chaosRun) func(context.Context) {
	x := c.acquireInstance()
	if x == nil {
		return noFault
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.releaseInstance(stopName, x, from)
		c.scenario.Logf("stop %s", x.Name)
		if err := x.StopNode(); err != nil {
			c.scenario.AddViolation(seamcheck.Violation{Kind: seamcheck.FailedStop, At: time.Now(), Detail: err.Error()})
		}
		c.logElapsed(from, "%s stopped", x.Name)
		c.checkWorkAfterStop(x, from, time.Now())
		if err := x.StartNode(); err != nil {
			c.scenario.Logf("start of %s failed: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, time.Second)
	}
}

// prepareLeave stops a target gracefully: it announces that it is leaving and exits once its node
// has moved all work away. It is then started again.
func prepareLeave(c *chaosRun) func(context.Context) {
	x := c.acquireInstance()
	if x == nil {
		return noFault
	}
	return func(ctx context.Context) {
		from := time.Now()
		defer c.releaseInstance(leaveName, x, from)
		c.scenario.Logf("target of %s is leaving", x.Name)
		if err := x.StopTarget(); err != nil {
			c.scenario.AddViolation(seamcheck.Violation{Kind: seamcheck.FailedStop, At: time.Now(), Detail: err.Error()})
		}
		c.logElapsed(from, "target of %s has exited", x.Name)
		if err := x.StartTarget(); err != nil {
			c.scenario.Logf("start of the target of %s failed: %v", x.Name, err)
		}
		seamscenario.Sleep(ctx, standbySyncDelay)
	}
}

// checkWorkAfterStop adds a violation if a request started at the instance's target more than
// maxWorkAfterStop after its node was asked to stop.
func (c *chaosRun) checkWorkAfterStop(x *seamfleet.Instance, from, to time.Time) {
	observations, err := c.scenario.Fleet.CollectObservations(nil)
	if err != nil {
		c.scenario.Logf("collect observations failed: %v", err)
		return
	}
	for _, record := range observations.ExecutionLog {
		at := time.Unix(0, record.At)
		if record.Kind == seamstandtarget.KindRun && strings.HasPrefix(record.Server, x.Name+"-") && at.After(from.Add(maxWorkAfterStop)) && at.Before(to) {
			c.scenario.AddViolation(seamcheck.Violation{Kind: seamcheck.WorkAfterStop, At: at, Detail: record.Request + " started at " + record.Server})
			return
		}
	}
}
