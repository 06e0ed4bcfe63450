package seamfleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a child process of the experiment.
type Process struct {
	// Name is the name of the process and of its log file.
	Name string

	command *exec.Cmd
	log     *os.File
	// exited is closed when the process has exited.
	exited chan struct{}

	mu     sync.Mutex
	paused bool
	err    error
	ended  time.Time
}

// start runs a program and writes its output to a log file in directory. The kernel kills
// the process if the experiment is killed.
func start(directory, name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = log, log
	c.Dir = directory
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		log.Close()
		return nil, errors.Wrap(err, name)
	}
	p := &Process{Name: name, command: c, log: log, exited: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mu.Lock()
	p.err = err
	p.ended = time.Now()
	p.mu.Unlock()
	p.log.Close()
	close(p.exited)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Paused reports whether the process is suspended by Pause.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// ExitTime returns the time at which the process exited. It is zero while the process runs.
func (p *Process) ExitTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *Process) signal(s syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process with SIGSTOP, which simulates a frozen machine.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
}

// TerminateTimeoutError reports that a process did not exit in time after SIGTERM.
type TerminateTimeoutError struct {
	Name    string
	Timeout time.Duration
}

// Error returns the process name and the timeout.
func (e *TerminateTimeoutError) Error() string {
	return e.Name + " did not exit within " + e.Timeout.String()
}

// Terminate sends SIGTERM and waits for the process to exit. It returns an error for a
// nonzero exit code. On a timeout it kills the process and returns a *TerminateTimeoutError.
func (p *Process) Terminate(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrap(p.err, p.Name)
	case <-time.After(timeout):
		p.Kill()
		return &TerminateTimeoutError{Name: p.Name, Timeout: timeout}
	}
}
