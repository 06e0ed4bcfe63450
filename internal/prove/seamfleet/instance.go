package seamfleet

import (
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"cardamomseam/internal/stand/seamproxy"
)

// Instance is one small machine: a node and the target beside it.
type Instance struct {
	seamproxy.Location
	// Service is the service of the target; empty if there is no target.
	Service string
	// Listen is where the node listens for other nodes; Address is where they reach it.
	Listen, Address string
	// Ingress, Announce and Admin are the node's addresses for callers, its target and operators.
	Ingress, Announce, Admin string
	// Port is the address of the target.
	TargetAddress string

	fleet    *Fleet
	settings string

	mu     sync.Mutex
	node   *Process
	target *Process
	runs   int
	// names are the names of the target's runs, the last one being the present.
	names []string
	// ended holds the end of each run of the target that was killed.
	ended map[string]time.Time
	// shy says that callers shall not ask this node.
	shy bool
}

// Node returns the process of the node, or nil before the first start.
func (i *Instance) Node() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node
}

// Target returns the process of the target, or nil.
func (i *Instance) Target() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.target
}

// StartNode starts the node.
func (i *Instance) StartNode() error {
	p, err := start(i.fleet.Directory, "node-"+i.Name, i.fleet.programs.Node, "node", "--settings", i.settings)
	if err != nil {
		return err
	}
	i.fleet.processes.Add(p.Pid(), i.Location)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.node = p
	i.shy = false
	return nil
}

// StartTarget starts the target as a new run with empty memory.
func (i *Instance) StartTarget() error {
	if i.Service == "" {
		return nil
	}
	i.mu.Lock()
	i.runs++
	name := fmt.Sprintf("%s-%d", i.Name, i.runs)
	i.names = append(i.names, name)
	i.mu.Unlock()
	c := i.fleet.cfg
	p, err := start(i.fleet.Directory, "target-"+name, i.fleet.programs.Bench, "target",
		"--service", i.Service, "--name", name, "--node", i.Announce, "--address", i.TargetAddress,
		"--slots", strconv.Itoa(c.Slots), "--connections", strconv.Itoa(c.Connections),
		"--can", c.Capabilities, "--time", strconv.FormatInt(c.ServiceTime.Microseconds(), 10),
		"--jitter", strconv.FormatFloat(c.Jitter, 'f', -1, 64),
		"--keep", "-1", "--label", "region="+i.Region, "--label", "domain="+i.Domain,
		"--ledger", i.ledger(name))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.target = p
	return nil
}

func (i *Instance) ledger(name string) string {
	if i.fleet.cfg.NoExecutionLog {
		return ""
	}
	return filepath.Join(i.fleet.Directory, "ledger-"+name+".json")
}

// Start starts the node and the target.
func (i *Instance) Start() error {
	if err := i.StartNode(); err != nil {
		return err
	}
	return i.StartTarget()
}

// Kill loses the whole instance without notice.
func (i *Instance) Kill() {
	node, target := i.Node(), i.Target()
	i.SetAvoided(true)
	var both sync.WaitGroup
	if node != nil {
		both.Go(node.Kill)
		i.fleet.processes.Remove(node.Pid())
	}
	if target != nil {
		both.Go(target.Kill)
	}
	both.Wait()
	i.noteEnd()
}

// KillNode loses the node alone; the target goes on.
func (i *Instance) KillNode() {
	i.SetAvoided(true)
	if node := i.Node(); node != nil {
		node.Kill()
		i.fleet.processes.Remove(node.Pid())
	}
}

// noteEnd records the end of the target's run.
func (i *Instance) noteEnd() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.target != nil && !i.target.Running() && len(i.names) > 0 {
		i.ended[i.names[len(i.names)-1]] = i.target.ExitTime()
	}
}

// Pause freezes the whole instance.
func (i *Instance) Pause() {
	i.SetAvoided(true)
	if p := i.Node(); p != nil {
		p.Pause()
	}
	if p := i.Target(); p != nil {
		p.Pause()
	}
}

// Resume lets a frozen instance go on.
func (i *Instance) Resume() {
	if p := i.Target(); p != nil {
		p.Resume()
	}
	if p := i.Node(); p != nil {
		p.Resume()
	}
	i.SetAvoided(false)
}

// stopLimit bounds a planned stop.
const stopLimit = 30 * time.Second

// Stop stops the node as planned, then the target. The error is that of the node's exit.
func (i *Instance) Stop() error {
	err := i.StopNode()
	if p := i.Target(); p != nil {
		p.Kill()
	}
	i.noteEnd()
	return err
}

// StopTarget tells the target to leave and waits for its end; the node goes on.
func (i *Instance) StopTarget() error {
	p := i.Target()
	if p == nil {
		return nil
	}
	err := p.Terminate(stopLimit)
	i.noteEnd()
	return err
}

// StopNode stops the node as planned; the target goes on.
func (i *Instance) StopNode() error {
	p := i.Node()
	if p == nil {
		return nil
	}
	err := p.Terminate(stopLimit)
	i.fleet.processes.Remove(p.Pid())
	return err
}

// Avoid says whether callers shall leave this node out.
func (i *Instance) SetAvoided(shy bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.shy = shy
}

// Open reports whether callers may ask the node.
func (i *Instance) AcceptsCallers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node != nil && i.node.Running() && !i.shy
}

// Live reports whether the node runs and is not paused.
func (i *Instance) Live() bool {
	p := i.Node()
	return p != nil && p.Running() && !p.Paused()
}
