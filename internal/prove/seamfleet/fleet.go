// Package seamfleet runs real node, target and store processes on loopback addresses for
// experiments. They are child processes and are killed when the experiment exits.
package seamfleet

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/stand/seamproxy"
)

// Config configures a fleet.
type Config struct {
	// Nodes is the number of instances, each with one node.
	Nodes int
	// Regions are the names of the regions. The store runs in the first one.
	Regions []string
	// Services are the rule documents of the services. Instances are divided evenly among them.
	Services []seamrule.Document
	// Seed seeds the random number generators, so that a run can be repeated.
	Seed uint64
	// UseProxy routes traffic among the nodes, and between the nodes and the store, through
	// the fault proxy.
	UseProxy bool
	// Latencies are the network latencies that the proxy adds.
	Latencies seamproxy.Latencies
	// TargetConcurrency is the concurrency of each target: the number of requests that it runs at once.
	// Connections, Capabilities, ServiceTime and Jitter are further settings of each target.
	TargetConcurrency int
	Connections       int
	Capabilities      string
	ServiceTime       time.Duration
	Jitter            float64
	// Unfenced makes targets run without checking fencing tokens.
	Unfenced bool
	// NoExecutionLog turns off the targets' execution logs, for performance measurements.
	NoExecutionLog bool
	// NodesWithoutTarget is the number of instances without a target. They come first in the fleet.
	NodesWithoutTarget int
	// Cell overrides the default cell settings.
	Cell *CellSettings
	// LogLevel is the log level of the nodes.
	LogLevel string
	// KeepDirectory keeps the fleet's directory after the run.
	KeepDirectory bool
}

// Default target configuration and topology of a fleet.
const (
	DefaultTargetConcurrency = 12
	DefaultConnections       = 110
	DefaultServiceTime       = time.Millisecond
	DefaultJitter            = 0.2
	// FencedCapabilities are announced by targets that check fencing tokens, UnfencedCapabilities
	// by targets that don't.
	FencedCapabilities   = "grant,fence,cancel,deadline,standby"
	UnfencedCapabilities = "cancel,deadline"
	// DomainsPerRegion is the number of failure domains in each region.
	DomainsPerRegion = 2
)

// Region names of the two simulated deployments.
var (
	LakeshoreRegions = []string{"erie", "superior", "michigan"}
	ReisingerRegions = []string{"ost", "mitte", "west"}
)

// Fleet is a set of running instances and their store.
type Fleet struct {
	// Directory holds the executables, logs, settings and execution logs.
	Directory string
	// Instances are all instances, including stopped ones.
	Instances []*Instance
	// Store is the store process that all nodes use.
	Store *Store
	// Network simulates latencies and faults of the network between the nodes. Proxy, which applies
	// them, is nil unless Config.UseProxy is set.
	Network *seamproxy.Network
	Proxy   *seamproxy.Proxy
	// Events collects the events of all nodes.
	Events *Events

	cfg       Config
	programs  Programs
	ports     *portAllocator
	processes *seamproxy.ProcessResolver
	cleanups  []func()
}

// New builds the executables, starts the store, and assigns addresses and writes settings for the
// instances without starting them. The returned function kills every process and cleans up.
func New(ctx context.Context, cfg Config) (*Fleet, func(), error) {
	cfg = withDefaults(cfg)
	directory, err := os.MkdirTemp("", "seambench-")
	if err != nil {
		return nil, nil, err
	}
	ports, releasePorts, err := reservePorts()
	if err != nil {
		return nil, nil, err
	}
	f := &Fleet{
		Directory: directory,
		Network:   seamproxy.NewNetwork(cfg.Latencies, cfg.Seed),
		Events:    newEvents(),
		cfg:       cfg,
		ports:     ports,
		processes: seamproxy.NewProcessResolver(),
	}
	f.cleanups = append(f.cleanups, releasePorts)
	if !cfg.KeepDirectory {
		f.cleanups = append(f.cleanups, func() { _ = os.RemoveAll(directory) })
	}
	if err := f.setUp(ctx); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func withDefaults(cfg Config) Config {
	if len(cfg.Regions) == 0 {
		cfg.Regions = ReisingerRegions
	}
	if cfg.TargetConcurrency == 0 {
		cfg.TargetConcurrency = DefaultTargetConcurrency
	}
	if cfg.Connections == 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.Capabilities == "" {
		cfg.Capabilities = FencedCapabilities
		if cfg.Unfenced {
			cfg.Capabilities = UnfencedCapabilities
		}
	}
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	if cfg.LogLevel == "" {
		cfg.LogLevel = "info"
	}
	return cfg
}

func (f *Fleet) setUp(ctx context.Context) error {
	programs, err := Build(ctx, f.Directory)
	if err != nil {
		return err
	}
	f.programs = programs
	if f.cfg.UseProxy {
		proxy, stop := seamproxy.New(f.Network, f.processes)
		f.Proxy = proxy
		f.cleanups = append(f.cleanups, stop)
	}
	if err := f.startStore(); err != nil {
		return err
	}
	for i := range f.cfg.Nodes {
		x, err := f.newInstance(i)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, x)
	}
	f.cleanups = append(f.cleanups, f.killAll, f.Events.stop)
	return f.writeSettings()
}

// newInstance returns the n-th instance, with its name, service and addresses. Successive instances
// go to different regions first, then to different failure domains, then to different services.
func (f *Fleet) newInstance(n int) (*Instance, error) {
	region := f.cfg.Regions[n%len(f.cfg.Regions)]
	rest := n / len(f.cfg.Regions)
	domain := fmt.Sprintf("%s-%c", region, 'a'+rune(rest%DomainsPerRegion))
	x := &Instance{
		Location:        seamproxy.Location{Name: fmt.Sprintf("%s-%d", domain, rest/DomainsPerRegion+1), Domain: domain, Region: region},
		fleet:           f,
		targetExitTimes: map[string]time.Time{},
	}
	if s := f.cfg.Services; len(s) > 0 && n >= f.cfg.NodesWithoutTarget {
		x.Service = s[rest/DomainsPerRegion%len(s)].Service
	}
	for _, address := range []*string{&x.Listen, &x.Ingress, &x.Announce, &x.Admin, &x.TargetAddress} {
		free, err := f.ports.allocate()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	x.Address = x.Listen
	if f.Proxy == nil {
		return x, nil
	}
	address, err := f.ports.allocate()
	if err != nil {
		return nil, err
	}
	x.Address = address
	return x, f.Proxy.Add(seamproxy.Node{Location: x.Location, Address: x.Address, Listen: x.Listen})
}

// peersPerNode is the number of other nodes listed in each node's settings.
const peersPerNode = 3

func (f *Fleet) writeSettings() error {
	for n, x := range f.Instances {
		s := settings{
			Name: x.Name, Region: x.Region, Domain: x.Domain,
			Listen: x.Listen, Address: x.Address,
			Ingress:  listenSetting{Listen: x.Ingress},
			Announce: listenSetting{Listen: x.Announce},
			Admin:    listenSetting{Listen: x.Admin},
			Store:    storeSetting{Endpoints: []string{f.Store.Address}},
			Cell:     f.cfg.Cell,
			Target:   targetSetting{Fence: !f.cfg.Unfenced},
			Log:      logSetting{Level: f.cfg.LogLevel},
		}
		for k := 1; k <= min(peersPerNode, len(f.Instances)-1); k++ {
			s.Peers = append(s.Peers, f.Instances[(n+k)%len(f.Instances)].Address)
		}
		file, err := s.write(f.Directory)
		if err != nil {
			return err
		}
		x.settings = file
	}
	return nil
}

// Start starts all instances, writes the rules and waits until the services are served.
func (f *Fleet) Start(ctx context.Context) error {
	for _, x := range f.Instances {
		if err := x.Start(); err != nil {
			return err
		}
		f.Events.subscribe(x)
	}
	for _, d := range f.cfg.Services {
		if err := f.PutRule(ctx, d); err != nil {
			return err
		}
	}
	return f.WaitServing(ctx)
}

// Ingresses returns the ingress addresses of the nodes that accept callers.
func (f *Fleet) Ingresses() []string {
	var list []string
	for _, x := range f.Instances {
		if x.AcceptsCallers() {
			list = append(list, x.Ingress)
		}
	}
	return list
}

// IngressesOf returns the ingress addresses of a region's nodes that accept callers.
func (f *Fleet) IngressesOf(region string) []string {
	var list []string
	for _, x := range f.Instances {
		if x.Region == region && x.AcceptsCallers() {
			list = append(list, x.Ingress)
		}
	}
	return list
}

// HasService reports whether any instance has a target of the service.
func (f *Fleet) HasService(service string) bool {
	for _, x := range f.Instances {
		if x.Service == service {
			return true
		}
	}
	return false
}

// Find returns the instance with the given name.
func (f *Fleet) Find(name string) (*Instance, error) {
	for _, x := range f.Instances {
		if x.Name == name {
			return x, nil
		}
	}
	return nil, errors.Newf("instance %q does not exist", name)
}

// Regions returns the names of the regions.
func (f *Fleet) Regions() []string { return f.cfg.Regions }

func (f *Fleet) killAll() {
	var wg sync.WaitGroup
	for _, x := range f.Instances {
		for _, p := range []*Process{x.Node(), x.Target()} {
			if p != nil {
				wg.Go(p.Kill)
			}
		}
	}
	wg.Wait()
}

func (f *Fleet) close() {
	for n := len(f.cleanups) - 1; n >= 0; n-- {
		f.cleanups[n]()
	}
	f.cleanups = nil
}
