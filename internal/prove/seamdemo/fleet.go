package seamdemo

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamnode"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/stand/seamstandstore"
	"cardamomseam/internal/stand/seamstandtarget"
)

// instance is a node and its local target.
type instance struct {
	name       string
	settings   seamsetting.Settings
	node       *seamnode.Node
	target     *seamstandtarget.Target
	stopNode   func()
	stopTarget func()
	// killedAt is the time at which the instance was killed; zero if it was not.
	killedAt time.Time
	stopped  bool
}

// matches reports whether server is the name of the instance or of its target.
func (i *instance) matches(server string) bool {
	return server == i.name || server == i.targetName()
}

func (i *instance) targetName() string { return targetNameOf(i.name) }

func targetNameOf(instance string) string { return instance + "-target" }

// fleet holds the store and the instances of the demonstration.
type fleet struct {
	store     *seamstandstore.Server
	stopStore func()

	mu        sync.Mutex
	instances []*instance
	// stoppedTargetsLog holds the execution records of stopped targets.
	stoppedTargetsLog []seamstandtarget.ExecutionRecord
}

func newFleet(seed uint64) (*fleet, func(), error) {
	store, stop, err := seamstandstore.New(seamstandstore.Config{Address: "127.0.0.1:0", Seed: seed})
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{store: store, stopStore: stop}
	return f, f.stop, nil
}

// instanceSpec describes the location of an instance and the service of its target.
type instanceSpec struct {
	region, domain, service, name string
	labels                        map[string]string
}

// start starts a node and its target.
func (f *fleet) start(spec instanceSpec) (*instance, error) {
	settings, err := f.settingsFor(spec)
	if err != nil {
		return nil, err
	}
	node, stopNode, err := seamnode.New(settings, seamnode.Options{Log: io.Discard})
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", spec.name)
	}
	target, stopTarget, err := seamstandtarget.New(seamstandtarget.Config{
		Service:      spec.service,
		Name:         targetNameOf(spec.name),
		Address:      "127.0.0.1:0",
		Node:         settings.Announce.Listen,
		Labels:       spec.labels,
		Capabilities: []string{seamtarget.CanGrant, seamtarget.CanFence, seamtarget.CanCancel, seamtarget.CanDeadline, seamtarget.CanStandby},
		Behaviour:    seamstandtarget.Behaviour{ServiceMicros: targetServiceMicros, Jitter: targetJitter},
	})
	if err != nil {
		stopNode()
		return nil, errors.Wrapf(err, "target of %s", spec.name)
	}
	i := &instance{name: spec.name, settings: settings, node: node, target: target, stopNode: stopNode, stopTarget: stopTarget}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i, nil
}

const (
	// targetServiceMicros is the mean service time of a target, in microseconds.
	targetServiceMicros = 2000
	// targetJitter is the range of the service time, as a fraction of its mean.
	targetJitter = 0.3
)

// settingsFor returns settings with free ports and with short intervals, so that the steps take little time.
func (f *fleet) settingsFor(spec instanceSpec) (seamsetting.Settings, error) {
	s := seamsetting.Default()
	s.Name, s.Region, s.Domain = spec.name, spec.region, spec.region+"-"+spec.domain
	for _, address := range []*string{&s.Listen, &s.Ingress.Listen, &s.Announce.Listen, &s.Admin.Listen} {
		free, err := freeAddress()
		if err != nil {
			return s, err
		}
		*address = free
	}
	s.Address = s.Listen
	s.Store.Endpoints = []string{f.store.Address()}
	s.Store.Rate = 20
	s.Target.Fence = true
	s.Place.Interval = 300 * time.Millisecond
	s.Place.Dwell = 2 * time.Second
	s.Drain.Grace = 300 * time.Millisecond
	return s, nil
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	const attempts = 32
	for range attempts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		address := l.Addr().String()
		p, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			p.Close()
			return address, nil
		}
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

// kill stops an instance abruptly, as a power failure would. The node stops first, so that it cannot
// report the exit of its target to other nodes.
func (f *fleet) kill(i *instance) {
	f.mu.Lock()
	i.killedAt, i.stopped = time.Now(), true
	f.mu.Unlock()
	i.stopNode()
	i.stopTarget()
	f.saveExecutionLog(i)
}

// stopDrained stops an instance that has drained.
func (f *fleet) stopDrained(i *instance) {
	f.mu.Lock()
	i.stopped = true
	f.mu.Unlock()
	i.stopNode()
	i.stopTarget()
	f.saveExecutionLog(i)
}

func (f *fleet) saveExecutionLog(i *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stoppedTargetsLog = append(f.stoppedTargetsLog, i.target.ExecutionRecords()...)
}

// live returns the running instances.
func (f *fleet) live() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *instance) bool { return i.stopped })
}

// ingresses returns the ingress addresses of the nodes that are ready for callers.
func (f *fleet) ingresses(seamcaller.Request) []string {
	var addresses []string
	for _, i := range f.live() {
		if i.node.Ready() {
			addresses = append(addresses, i.settings.Ingress.Listen)
		}
	}
	return addresses
}

// executionLog returns the execution logs of all targets, including stopped ones.
func (f *fleet) executionLog() []seamstandtarget.ExecutionRecord {
	live := f.live()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines := slices.Clone(f.stoppedTargetsLog)
	for _, i := range live {
		lines = append(lines, i.target.ExecutionRecords()...)
	}
	return lines
}

// exitTimes returns the times at which targets were killed, by name.
func (f *fleet) exitTimes() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := map[string]time.Time{}
	for _, i := range f.instances {
		if !i.killedAt.IsZero() {
			times[i.targetName()] = i.killedAt
		}
	}
	return times
}

func (f *fleet) find(name string) (*instance, error) {
	for _, i := range f.live() {
		if i.name == name {
			return i, nil
		}
	}
	return nil, errors.New(fmt.Sprintf("instance %s is not running", name))
}

func (f *fleet) stop() {
	live := f.live()
	var stopping sync.WaitGroup
	for _, i := range live {
		stopping.Go(func() {
			i.stopNode()
			i.stopTarget()
		})
	}
	stopping.Wait()
	f.stopStore()
}
