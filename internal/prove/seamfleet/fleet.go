// Package seamfleet runs real node, target and store processes on loopback addresses for
// experiments. All of them are children of the experiment and end with it.
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
	// Nodes is the number of instances.
	Nodes int
	// Regions are the names of the regions; the store stands in the first one.
	Regions []string
	// Services are the documents of the services; instances are divided among them evenly.
	Services []seamrule.Document
	// Seed makes the random decisions repeatable.
	Seed uint64
	// Proxied puts the fault proxy between the nodes, and between them and the store.
	UseProxy bool
	// Latencies are those of the proxy.
	Latencies seamproxy.Latencies
	// Slots, Connections, Can, ServiceTime and Jitter are those of each target.
	Slots        int
	Connections  int
	Capabilities string
	ServiceTime  time.Duration
	Jitter       float64
	// Unfenced says that targets don't check fencing tokens.
	Unfenced bool
	// NoLedger writes no ledgers, for measurements of speed.
	NoExecutionLog bool
	// Bare is the number of instances, from the first on, that have no target.
	NodesWithoutTarget int
	// Cell overrides the timing of cells.
	Cell *CellSettings
	// Level is the level of the nodes' logs.
	LogLevel string
	// Keep keeps the directory.
	KeepDirectory bool
}

// Defaults of targets.
const (
	DefaultSlots       = 12
	DefaultConnections = 110
	DefaultServiceTime = time.Millisecond
	DefaultJitter      = 0.2
	// FencedCan are the abilities of a target that checks fencing tokens, UnfencedCan those of one that doesn't.
	FencedCapabilities   = "grant,fence,cancel,deadline,standby"
	UnfencedCapabilities = "cancel,deadline"
	// DomainsPerRegion is the number of failure domains in each region.
	DomainsPerRegion = 2
)

// Regions of the two deployments.
var (
	LakeshoreRegions = []string{"erie", "superior", "michigan"}
	ReisingerRegions = []string{"ost", "mitte", "west"}
)

// Fleet is a running fleet.
type Fleet struct {
	// Directory holds the programs, logs, settings and ledgers.
	Directory string
	// Instances are all instances, whether or not they run.
	Instances []*Instance
	// Store is the store.
	Store *Store
	// Network and Proxy are those between the nodes; Proxy is nil unless Config.Proxied.
	Network *seamproxy.Network
	Proxy   *seamproxy.Proxy
	// Events collects the events of all nodes.
	Events *Events

	cfg       Config
	programs  Programs
	ports     *ports
	processes *seamproxy.ProcessResolver
	cleanups  []func()
}

// New builds the programs, starts the store and lays out the instances without starting
// them. The returned function ends every process.
func New(ctx context.Context, cfg Config) (*Fleet, func(), error) {
	cfg = withDefaults(cfg)
	directory, err := os.MkdirTemp("", "seambench-")
	if err != nil {
		return nil, nil, err
	}
	ports, releasePorts, err := newPorts()
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
	if err := f.prepare(ctx); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func withDefaults(cfg Config) Config {
	if len(cfg.Regions) == 0 {
		cfg.Regions = ReisingerRegions
	}
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
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

func (f *Fleet) prepare(ctx context.Context) error {
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
		x, err := f.lay(i)
		if err != nil {
			return err
		}
		f.Instances = append(f.Instances, x)
	}
	f.cleanups = append(f.cleanups, f.killAll, f.Events.stop)
	return f.writeSettings()
}

// lay plans the n-th instance: regions in turn, then failure domains, then services.
func (f *Fleet) lay(n int) (*Instance, error) {
	region := f.cfg.Regions[n%len(f.cfg.Regions)]
	rest := n / len(f.cfg.Regions)
	domain := fmt.Sprintf("%s-%c", region, 'a'+rune(rest%DomainsPerRegion))
	x := &Instance{
		Location: seamproxy.Location{Name: fmt.Sprintf("%s-%d", domain, rest/DomainsPerRegion+1), Domain: domain, Region: region},
		fleet:    f,
		ended:    map[string]time.Time{},
	}
	if s := f.cfg.Services; len(s) > 0 && n >= f.cfg.NodesWithoutTarget {
		x.Service = s[rest/DomainsPerRegion%len(s)].Service
	}
	for _, address := range []*string{&x.Listen, &x.Ingress, &x.Announce, &x.Admin, &x.TargetAddress} {
		free, err := f.ports.take()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	x.Address = x.Listen
	if f.Proxy == nil {
		return x, nil
	}
	address, err := f.ports.take()
	if err != nil {
		return nil, err
	}
	x.Address = address
	return x, f.Proxy.Add(seamproxy.Node{Location: x.Location, Address: x.Address, Listen: x.Listen})
}

// peerCount is the number of other nodes named in each node's settings.
const peerCount = 3

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
		for k := 1; k <= min(peerCount, len(f.Instances)-1); k++ {
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

// Start starts all instances, records the rules and waits until every key is served.
func (f *Fleet) Start(ctx context.Context) error {
	for _, x := range f.Instances {
		if err := x.Start(); err != nil {
			return err
		}
		f.Events.follow(x)
	}
	for _, d := range f.cfg.Services {
		if err := f.PutRule(ctx, d); err != nil {
			return err
		}
	}
	return f.WaitServing(ctx)
}

// Ingresses returns the addresses of the nodes that callers may ask.
func (f *Fleet) Ingresses() []string {
	var list []string
	for _, x := range f.Instances {
		if x.AcceptsCallers() {
			list = append(list, x.Ingress)
		}
	}
	return list
}

// IngressesOf returns the addresses of the nodes of a region that callers may ask.
func (f *Fleet) IngressesOf(region string) []string {
	var list []string
	for _, x := range f.Instances {
		if x.Region == region && x.AcceptsCallers() {
			list = append(list, x.Ingress)
		}
	}
	return list
}

// Has reports whether an instance has a target of the service.
func (f *Fleet) HasService(service string) bool {
	for _, x := range f.Instances {
		if x.Service == service {
			return true
		}
	}
	return false
}

// Find returns the instance of a name.
func (f *Fleet) Find(name string) (*Instance, error) {
	for _, x := range f.Instances {
		if x.Name == name {
			return x, nil
		}
	}
	return nil, errors.Newf("no instance %q", name)
}

// Regions returns the names of the regions.
func (f *Fleet) Regions() []string { return f.cfg.Regions }

func (f *Fleet) killAll() {
	var all sync.WaitGroup
	for _, x := range f.Instances {
		for _, p := range []*Process{x.Node(), x.Target()} {
			if p != nil {
				all.Go(p.Kill)
			}
		}
	}
	all.Wait()
}

func (f *Fleet) close() {
	for n := len(f.cleanups) - 1; n >= 0; n-- {
		f.cleanups[n]()
	}
	f.cleanups = nil
}
