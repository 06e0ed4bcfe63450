package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Node is a process of the program that is deployed.
type Node struct {
	Name     string
	Ingress  string
	Announce string
	Health   string
	settings string
	log      *os.File
	record   *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Fleet starts nodes.
type Fleet struct {
	// Root is the root of the repository, and Dir a temporary folder for settings and logs.
	Root, Dir string
	// Store is the address of the store.
	Store  string
	Record *Record

	mu    sync.Mutex
	nodes []*Node
}

// firstPort and lastPort bound the ports of the nodes. They lie below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 30000
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*61%(lastPort-firstPort)
)

// freeAddress returns an address with a free port.
func freeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().String()
	}
	return ""
}

// Node writes the settings of a node as deploy/settings.yaml does, and starts it.
func (f *Fleet) Node(name, region, zone, service string) (*Node, error) {
	n := &Node{Name: name, Ingress: freeAddress(), Announce: freeAddress(), Health: freeAddress(), record: f.Record}
	n.settings = filepath.Join(f.Dir, name+".yaml")
	content := fmt.Sprintf("name: %q\nregion: %q\ndomain: %q\nservice: %q\nlisten: %q\ningress: %q\nannounce: %q\nhealth: %q\nmetrics: %q\n"+
		"store: [%q]\nmemory: 284\nretry: {ratio: 0.2, slack: 58, window: \"10s\"}\nlog: {level: info, format: json}\n",
		name, region, zone, service, freeAddress(), n.Ingress, n.Announce, n.Health, freeAddress(), f.Store)
	if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(f.Dir, name+".log")); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n, n.Start(f.Root)
}

// Start starts the process of the node.
func (n *Node) Start(root string) error {
	cmd := exec.Command("target/cardamomseam", "serve", "--settings", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		n.record.Add("node %s exited: %v", n.Name, err)
		close(exited)
	}()
	n.record.Add("node %s started", n.Name)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.exited = cmd, exited
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Add("signal %v to node %s", s, n.Name)
	_ = n.cmd.Process.Signal(s)
}

// Wait waits until the process has ended, at most for the given time. It reports whether it has.
func (n *Node) Wait(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + n.Health + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Stop kills all nodes.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.mu.Lock()
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		n.mu.Unlock()
		n.Wait(5 * time.Second)
	}
}

// Until waits until a condition holds, at most for the given time. It reports whether it does.
func Until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// NotStoppedError reports that a node didn't end within the grace period of a planned stop.
type NotStoppedError struct {
	Node string
}

// Error names the node.
func (e *NotStoppedError) Error() string { return "node " + e.Node + " did not stop" }

// Terminate sends SIGTERM and waits until the process has ended.
func (n *Node) Terminate() error {
	n.Signal(syscall.SIGTERM)
	if !n.Wait(grace) {
		return &NotStoppedError{Node: n.Name}
	}
	return nil
}
