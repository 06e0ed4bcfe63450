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

// instance is one instance: a node and the target beside it.
type instance struct {
	name       string
	settings   seamsetting.Settings
	node       *seamnode.Node
	target     *seamstandtarget.Target
	stopNode   func()
	stopTarget func()
	// lostAt is the time of an unplanned end; zero while the instance runs.
	lostAt time.Time
	gone   bool
}

// is reports whether the name is that of the instance or of its target.
func (i *instance) is(server string) bool {
	return server == i.name || server == i.targetName()
}

func (i *instance) targetName() string { return targetNameOf(i.name) }

func targetNameOf(instance string) string { return instance + "-target" }

// fleet is the instances of the demonstration and the store.
type fleet struct {
	store     *seamstandstore.Server
	stopStore func()

	mu        sync.Mutex
	instances []*instance
	lines     []seamstandtarget.ExecutionRecord
}

func newFleet(seed uint64) (*fleet, func(), error) {
	store, stop, err := seamstandstore.New(seamstandstore.Config{Address: "127.0.0.1:0", Seed: seed})
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{store: store, stopStore: stop}
	return f, f.stop, nil
}

// place says where an instance stands and what its target serves.
type place struct {
	region, domain, service, name string
	labels                        map[string]string
}

// add starts an instance.
func (f *fleet) add(p place) (*instance, error) {
	settings, err := f.settingsFor(p)
	if err != nil {
		return nil, err
	}
	node, stopNode, err := seamnode.New(settings, seamnode.Options{Log: io.Discard})
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", p.name)
	}
	target, stopTarget, err := seamstandtarget.New(seamstandtarget.Config{
		Service:      p.service,
		Name:         targetNameOf(p.name),
		Address:      "127.0.0.1:0",
		Node:         settings.Announce.Listen,
		Labels:       p.labels,
		Capabilities: []string{seamtarget.CanGrant, seamtarget.CanFence, seamtarget.CanCancel, seamtarget.CanDeadline, seamtarget.CanStandby},
		Behaviour:    seamstandtarget.Behaviour{ServiceMicros: targetTime, Jitter: targetJitter},
	})
	if err != nil {
		stopNode()
		return nil, errors.Wrapf(err, "target of %s", p.name)
	}
	i := &instance{name: p.name, settings: settings, node: node, target: target, stopNode: stopNode, stopTarget: stopTarget}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i, nil
}

const (
	// targetTime is the mean time of a request at a target, in microseconds.
	targetTime = 2000
	// targetJitter is the range of that time, as a fraction of it.
	targetJitter = 0.3
)

// settingsFor returns settings with free ports and with short times for a short demonstration.
func (f *fleet) settingsFor(p place) (seamsetting.Settings, error) {
	s := seamsetting.Default()
	s.Name, s.Region, s.Domain = p.name, p.region, p.region+"-"+p.domain
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

// kill ends an instance without notice, as a power cut would: the node goes
// first, so that it cannot tell others about the end of its target.
func (f *fleet) kill(i *instance) {
	f.mu.Lock()
	i.lostAt, i.gone = time.Now(), true
	f.mu.Unlock()
	i.stopNode()
	i.stopTarget()
	f.keepLedger(i)
}

// retire marks an instance that has drained, and stops it.
func (f *fleet) retire(i *instance) {
	f.mu.Lock()
	i.gone = true
	f.mu.Unlock()
	i.stopNode()
	i.stopTarget()
	f.keepLedger(i)
}

func (f *fleet) keepLedger(i *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, i.target.ExecutionRecords()...)
}

// live returns the instances that run.
func (f *fleet) live() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *instance) bool { return i.gone })
}

// ingresses returns the addresses of the nodes that are ready for callers.
func (f *fleet) ingresses(seamcaller.Request) []string {
	var addresses []string
	for _, i := range f.live() {
		if i.node.Ready() {
			addresses = append(addresses, i.settings.Ingress.Listen)
		}
	}
	return addresses
}

// ledger returns the lines of all targets, those that ended included.
func (f *fleet) ledger() []seamstandtarget.ExecutionRecord {
	live := f.live()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines := slices.Clone(f.lines)
	for _, i := range live {
		lines = append(lines, i.target.ExecutionRecords()...)
	}
	return lines
}

// ended returns the times at which targets were lost without notice.
func (f *fleet) ended() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := map[string]time.Time{}
	for _, i := range f.instances {
		if !i.lostAt.IsZero() {
			times[i.targetName()] = i.lostAt
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
	return nil, errors.New(fmt.Sprintf("instance %s does not run", name))
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
