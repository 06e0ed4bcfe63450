package seamfleet

import (
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"cardamomseam/internal/stand/seamproxy"
)

// Instance is one simulated machine: a node and the target beside it.
type Instance struct {
	seamproxy.Location
	// Service is the target's service. It is empty if the instance has no target.
	Service string
	// Listen is the address on which the node listens for other nodes. Address is the one that
	// they connect to, which is the proxy's if the fleet uses it.
	Listen, Address string
	// Ingress, Announce and Admin are the node's addresses for callers, for its target and for
	// operators.
	Ingress, Announce, Admin string
	// TargetAddress is the address on which the target listens.
	TargetAddress string

	fleet    *Fleet
	settings string

	mu         sync.Mutex
	node       *Process
	target     *Process
	targetRuns int
	// targetNames are the names of the target's runs. The last one is the current run.
	targetNames []string
	// targetExitTimes holds the exit time of each target process that has exited, by target name.
	targetExitTimes map[string]time.Time
	// avoided tells callers not to send requests to this node.
	avoided bool
}

// Node returns the node's process, or nil before its first start.
func (i *Instance) Node() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node
}

// Target returns the target's process, or nil if it was never started.
func (i *Instance) Target() *Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.target
}

// StartNode starts the node's process and lets callers use it.
func (i *Instance) StartNode() error {
	p, err := start(i.fleet.Directory, "node-"+i.Name, i.fleet.programs.Node, "node", "--settings", i.settings)
	if err != nil {
		return err
	}
	i.fleet.processes.Add(p.Pid(), i.Location)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.node = p
	i.avoided = false
	return nil
}

// StartTarget starts the target as a new run with empty memory. It does nothing if the
// instance has no target.
func (i *Instance) StartTarget() error {
	if i.Service == "" {
		return nil
	}
	i.mu.Lock()
	i.targetRuns++
	name := fmt.Sprintf("%s-%d", i.Name, i.targetRuns)
	i.targetNames = append(i.targetNames, name)
	i.mu.Unlock()
	c := i.fleet.cfg
	p, err := start(i.fleet.Directory, "target-"+name, i.fleet.programs.Bench, "target",
		"--service", i.Service, "--name", name, "--node", i.Announce, "--address", i.TargetAddress,
		"--slots", strconv.Itoa(c.TargetConcurrency), "--connections", strconv.Itoa(c.Connections),
		"--can", c.Capabilities, "--time", strconv.FormatInt(c.ServiceTime.Microseconds(), 10),
		"--jitter", strconv.FormatFloat(c.Jitter, 'f', -1, 64),
		"--keep", "-1", "--label", "region="+i.Region, "--label", "domain="+i.Domain,
		"--ledger", i.executionLogFile(name))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.target = p
	return nil
}

func (i *Instance) executionLogFile(name string) string {
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

// Kill kills the node and the target without a planned stop.
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
	i.recordTargetExit()
}

// KillNode kills only the node. The target keeps running.
func (i *Instance) KillNode() {
	i.SetAvoided(true)
	if node := i.Node(); node != nil {
		node.Kill()
		i.fleet.processes.Remove(node.Pid())
	}
}

// recordTargetExit records the exit time of the current target run if it has ended.
func (i *Instance) recordTargetExit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.target != nil && !i.target.Running() && len(i.targetNames) > 0 {
		i.targetExitTimes[i.targetNames[len(i.targetNames)-1]] = i.target.ExitTime()
	}
}

// Pause suspends the node and the target.
func (i *Instance) Pause() {
	i.SetAvoided(true)
	if p := i.Node(); p != nil {
		p.Pause()
	}
	if p := i.Target(); p != nil {
		p.Pause()
	}
}

// Resume continues a paused instance.
func (i *Instance) Resume() {
	if p := i.Target(); p != nil {
		p.Resume()
	}
	if p := i.Node(); p != nil {
		p.Resume()
	}
	i.SetAvoided(false)
}

// stopTimeout is the time limit of a planned stop.
const stopTimeout = 30 * time.Second

// Stop stops the node gracefully, then kills the target. The error is that of the node's exit.
func (i *Instance) Stop() error {
	err := i.StopNode()
	if p := i.Target(); p != nil {
		p.Kill()
	}
	i.recordTargetExit()
	return err
}

// StopTarget asks the target to leave and waits for its exit. The node keeps running.
func (i *Instance) StopTarget() error {
	p := i.Target()
	if p == nil {
		return nil
	}
	err := p.Terminate(stopTimeout)
	i.recordTargetExit()
	return err
}

// StopNode stops the node gracefully. The target keeps running.
func (i *Instance) StopNode() error {
	p := i.Node()
	if p == nil {
		return nil
	}
	err := p.Terminate(stopTimeout)
	i.fleet.processes.Remove(p.Pid())
	return err
}

// SetAvoided sets whether callers avoid this node.
func (i *Instance) SetAvoided(avoided bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.avoided = avoided
}

// AcceptsCallers reports whether the node runs and callers may send it requests.
func (i *Instance) AcceptsCallers() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.node != nil && i.node.Running() && !i.avoided
}

// Live reports whether the node runs and is not paused.
func (i *Instance) Live() bool {
	p := i.Node()
	return p != nil && p.Running() && !p.Paused()
}
