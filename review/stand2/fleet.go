package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the system with its settings.
type node struct {
	name, zone, service                                         string
	app, listen, ingress, announce, health, metrics, file, logs string
	program                                                     string
	rec                                                         *recorder
	cmd                                                         *exec.Cmd
	exited                                                      chan struct{}
}

// fleet is a small deployment: the store, the nodes and one upstream beside each node.
type fleet struct {
	dir, program string
	rec          *recorder
	store        *kvStore
	storeAddress string
	nodes        []*node
	stops        []func()
}

// newFleet starts a store and writes the operator's configuration.
func newFleet(program string, rec *recorder, config any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "cardamomseam-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, rec: rec, store: newStore(rec)}
	f.stops = append(f.stops, func() { _ = os.RemoveAll(dir) })
	value, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	f.store.put("op/config", value)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }() // ends at the end of the case
	f.stops = append(f.stops, func() { _ = server.Close() })
	return f, nil
}

// addNode writes the settings of a node, as deploy/settings.yaml gives them.
func (f *fleet) addNode(name, region, zone, service string) (*node, error) {
	n := &node{
		name: name, zone: zone, service: service, program: f.program, rec: f.rec,
		app: freeAddress(), listen: freeAddress(), ingress: freeAddress(), announce: freeAddress(), health: freeAddress(), metrics: freeAddress(),
		file: filepath.Join(f.dir, name+".yaml"), logs: filepath.Join(f.dir, name+".log"),
	}
	settings := fmt.Sprintf(`name: %q
region: %q
domain: %q
service: %q
target: %q
listen: %q
ingress: %q
announce: %q
health: %q
metrics: %q
store: [%q]
memory: 284
link: 1000
retry: {ratio: 0.2, slack: 56, window: "10s"}
log: {level: info, format: json}
balance: {policy: even}
`, name, region, zone, service, n.app, n.listen, n.ingress, n.announce, n.health, n.metrics, f.storeAddress)
	if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.program, "serve", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.rec.note("node %s starts", n.name)
	go func() {
		err := cmd.Wait()
		n.rec.note("node %s has ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

// restart ends the node's process with the signal and starts it again after a time.
func (n *node) restart(s syscall.Signal, after time.Duration) error {
	n.signal(s)
	<-n.exited
	time.Sleep(after)
	return n.start()
}

// place is a machine: its zone and the service of its upstream.
type place struct {
	zone, service string
}

// places returns machines with the same service in the zones.
func places(service string, zones ...string) []place {
	var list []place
	for _, zone := range zones {
		list = append(list, place{zone, service})
	}
	return list
}

// startAll starts a node with its upstream at each of the places, and waits until all nodes are ready.
func (f *fleet) startAll(ctx context.Context, at []place) ([]*upstream, error) {
	var upstreams []*upstream
	for i, p := range at {
		n, err := f.addNode(fmt.Sprintf("node-%d", i+1), "erie", p.zone, p.service)
		if err != nil {
			return nil, err
		}
		u, err := startUpstream(fmt.Sprintf("i-%d", i+1), p.service, p.zone, n.app, n.announce, 50*time.Millisecond, f.rec)
		if err != nil {
			return nil, err
		}
		f.stops = append(f.stops, u.exit)
		upstreams = append(upstreams, u)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, u := range upstreams {
		go u.beats(ctx)
	}
	return upstreams, f.awaitReady(15 * time.Second)
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.rec.note("node %s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s) // the process may have ended
}

// ready reports whether the node answers that it is ready.
func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.health + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after %s", n.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the files. It keeps the logs beside the record if the environment asks for them.
func (f *fleet) stop(keep string) {
	for _, n := range f.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		if keep != "" {
			if content, err := os.ReadFile(n.logs); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), content, 0o600)
			}
		}
	}
	for _, stop := range f.stops {
		stop()
	}
}

// hostOf returns the host name of all routes.
func hostOf() string { return "review.example" }

// route is a route of the operator's configuration.
func route(name, kind, service string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": hostOf(), "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout,
		"target_latency_ms": timeout / 2, "priority": 1, "service": service, "max_attempts": 2,
	}
}

// service is a service of the operator's configuration.
func service(name string, sharded bool) map[string]any {
	s := map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
	if sharded {
		s["sharded"], s["warm_s"], s["grants"] = true, 2.0, "rpc"
	}
	return s
}

// configuration is the operator's configuration.
func configuration(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": "r7", "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	signed bool
	err    error
}

// send sends one request on a new connection and waits for the answer.
func send(rec *recorder, to, method, path, id string, deadline time.Duration, body string, headers map[string]string) answer {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		Timeout:       deadline + time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	r, err := http.NewRequest(method, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = hostOf()
	r.Header.Set("Cardamomseam-Request-Id", id)
	r.Header.Set("Cardamomseam-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	rec.note("client sends %s (%s %s)", id, method, path)
	res, err := client.Do(r)
	if err != nil {
		rec.note("client gets for %s: %v", id, err)
		return answer{err: err}
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, body: string(content), signed: res.Header.Get("Cardamomseam-Server-Signature") != "", err: err}
	rec.note("client gets for %s: %d, signed %t, %d bytes, %v", id, a.status, a.signed, len(content), err)
	return a
}
