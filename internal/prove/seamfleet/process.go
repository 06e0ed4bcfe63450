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
	// Name names the log file.
	Name string

	command *exec.Cmd
	log     *os.File
	// exited is closed when the process has ended.
	exited chan struct{}

	mu     sync.Mutex
	paused bool
	err    error
	ended  time.Time
}

// start runs a program with its output in a log file of the directory. The process is
// killed by the kernel if the experiment itself is.
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

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Paused reports whether the process is stopped by Pause.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// Ended returns the time at which the process ended; it is zero while it runs.
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

// Kill ends the process without notice and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause stops the process as a frozen machine would.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
}

// Resume lets a paused process go on.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
}

// SlowError says that a process did not end in time.
type TerminateTimeoutError struct {
	Name    string
	Timeout time.Duration
}

// Error names the process.
func (e *TerminateTimeoutError) Error() string {
	return e.Name + " did not end within " + e.Timeout.String()
}

// Terminate asks the process to stop and waits for its end. The error tells of an exit code
// other than 0, or is a *SlowError, after which the process has been killed.
func (p *Process) Terminate(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrap(p.err, p.Name)
	case <-time.After(limit):
		p.Kill()
		return &TerminateTimeoutError{Name: p.Name, Timeout: limit}
	}
}
