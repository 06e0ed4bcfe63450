package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"gopkg.in/yaml.v3"

	"cardamomseam/internal/stand/seamproxy"
	"cardamomseam/internal/stand/seamstandstore"
	"cardamomseam/internal/stand/seamstandtarget"
)

// targetStopTimeout limits how long a stopping target may take to leave its node.
const targetStopTimeout = 20 * time.Second

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a simulated platform key-value store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:2379", Usage: "`IP:PORT` of the store's API"},
			&cli.StringFlag{Name: "control", Usage: "`IP:PORT` for POST /fault and GET /counts (default: a free port)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random faults"},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) error {
	s, stop, err := seamstandstore.New(seamstandstore.Config{
		Address:        c.String("address"),
		ControlAddress: c.String("control"),
		Seed:           c.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("store at %s, faults and counts at %s\n", s.Address(), s.ControlAddress())
	<-ctx.Done()
	return nil
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a simulated target that announces itself to its local node",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "node", Required: true, Usage: "`IP:PORT` where the node accepts announcements"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of this target process (default: service and process ID)"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"},
			&cli.StringMapFlag{Name: "label", Usage: "label `KEY=VALUE` to announce; repeatable"},
			&cli.IntFlag{Name: "slots", Value: seamstandtarget.DefaultSlots, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "connections", Value: seamstandtarget.DefaultConnections, Usage: "number of connections to announce"},
			&cli.StringFlag{Name: "can", Value: "grant,fence,cancel,deadline,standby", Usage: "comma-separated capabilities"},
			&cli.IntFlag{Name: "time", Value: 1000, Usage: "service time in microseconds"},
			&cli.FloatFlag{Name: "jitter", Value: 0.2, Usage: "maximum deviation of the service time from --time, as a fraction of it"},
			&cli.BoolFlag{Name: "cold", Usage: "start with empty caches"},
			&cli.StringFlag{Name: "ledger", Usage: "`FILE` to append the ledger to"},
			&cli.IntFlag{Name: "keep", Value: seamstandtarget.DefaultMaxRecords, Usage: "number of ledger lines kept in memory"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random decisions"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	cfg := seamstandtarget.Config{
		Service:      c.String("service"),
		Name:         c.String("name"),
		Address:      c.String("address"),
		Node:         c.String("node"),
		Labels:       c.StringMap("label"),
		Slots:        c.Int("slots"),
		Connections:  c.Int("connections"),
		Capabilities: splitList(c.String("can")),
		Behaviour:    seamstandtarget.Behaviour{ServiceMicros: c.Int("time"), Jitter: c.Float("jitter")},
		ColdStart:    c.Bool("cold"),
		MaxRecords:   c.Int("keep"),
		Seed:         c.Uint64("seed"),
	}
	if cfg.Name == "" {
		cfg.Name = fmt.Sprintf("%s-%d", cfg.Service, os.Getpid())
	}
	if c.String("ledger") != "" {
		f, err := os.OpenFile(c.String("ledger"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open the ledger")
		}
		defer f.Close()
		cfg.ExecutionLog = f
	}
	t, stop, err := seamstandtarget.New(cfg)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("target %s of %s at %s\n", cfg.Name, cfg.Service, t.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), targetStopTimeout)
	defer cancel()
	return t.Drain(stopCtx)
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// proxySettings is the settings file of the proxy command.
type proxySettings struct {
	// Latencies is lakeshore, reisinger or loopback.
	Latencies string       `yaml:"latencies"`
	Seed      uint64       `yaml:"seed"`
	Nodes     []proxyNode  `yaml:"nodes"`
	Faults    []proxyFault `yaml:"faults"`
}

// proxyNode is a node whose connections the proxy relays.
type proxyNode struct {
	Name    string `yaml:"name"`
	Domain  string `yaml:"domain"`
	Region  string `yaml:"region"`
	Address string `yaml:"address"`
	Listen  string `yaml:"listen"`
	// Process is the node's process ID, which identifies its connections. 0 means unknown.
	Process int `yaml:"process"`
}

// proxyFault is a link fault, either set in the settings file or added with POST /fault.
type proxyFault struct {
	From   string  `yaml:"from" json:"from"`
	To     string  `yaml:"to" json:"to"`
	Delay  int     `yaml:"delay" json:"delay"`
	Jitter int     `yaml:"jitter" json:"jitter"`
	Rate   int64   `yaml:"rate" json:"rate"`
	Loss   float64 `yaml:"loss" json:"loss"`
	Held   bool    `yaml:"held" json:"held"`
}

// toFault converts f to a proxy fault. Delay and Jitter are in milliseconds.
func (f proxyFault) toFault() seamproxy.Fault {
	return seamproxy.Fault{From: f.From, To: f.To, Link: seamproxy.Link{
		Delay:  time.Duration(f.Delay) * time.Millisecond,
		Jitter: time.Duration(f.Jitter) * time.Millisecond,
		Rate:   f.Rate, Loss: f.Loss, Blocked: f.Held,
	}}
}

var latencies = map[string]seamproxy.Latencies{
	"":          seamproxy.Loopback,
	"loopback":  seamproxy.Loopback,
	"lakeshore": seamproxy.Lakeshore,
	"reisinger": seamproxy.Reisinger,
}

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "run a fault-injecting proxy between nodes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "YAML `FILE` with latencies, seed, nodes and faults"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "`IP:PORT` for POST /fault, which adds a fault, and DELETE /fault, which removes all added faults"},
		},
		Action: runProxy,
	}
}

func runProxy(ctx context.Context, c *cli.Command) error {
	s, err := readProxySettings(c.String("settings"))
	if err != nil {
		return err
	}
	network := seamproxy.NewNetwork(latencies[s.Latencies], s.Seed)
	processes := seamproxy.NewProcessResolver()
	p, stop := seamproxy.New(network, processes)
	defer stop()
	for _, n := range s.Nodes {
		location := seamproxy.Location{Name: n.Name, Domain: n.Domain, Region: n.Region}
		if err := p.Add(seamproxy.Node{Location: location, Address: n.Address, Listen: n.Listen}); err != nil {
			return err
		}
		if n.Process != 0 {
			processes.Add(n.Process, location)
		}
	}
	for _, f := range s.Faults {
		network.Inject(f.toFault())
	}
	return serveFaults(ctx, c.String("control"), network)
}

func readProxySettings(file string) (proxySettings, error) {
	var s proxySettings
	body, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	if err := yaml.Unmarshal(body, &s); err != nil {
		return s, errors.Wrap(err, file)
	}
	if _, ok := latencies[s.Latencies]; !ok {
		return s, errors.Newf("%s: invalid latencies %q: must be lakeshore, reisinger or loopback", file, s.Latencies)
	}
	return s, nil
}

func serveFaults(ctx context.Context, address string, network *seamproxy.Network) error {
	var removals []func()
	updates := make(chan func())
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f proxyFault
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		updates <- func() { removals = append(removals, network.Inject(f.toFault())) }
	})
	m.HandleFunc("DELETE /fault", func(http.ResponseWriter, *http.Request) {
		updates <- func() {
			for _, remove := range removals {
				remove()
			}
			removals = nil
		}
	})
	server := &http.Server{Addr: address, Handler: m, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	defer func() { _ = server.Close() }()
	for {
		select {
		case f := <-updates:
			f()
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}
