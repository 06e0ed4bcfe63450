package stand

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	Unplayed = 2
)

// Run plays a case and ends the process with its exit code. The arguments are the root of the repository, a temporary folder and
// the path of the record. Without trouble, the case leaves out the disruption.
func Run(play func(d *Deployment, trouble bool) (breach string, err error)) {
	os.Exit(run(play))
}

func run(play func(d *Deployment, trouble bool) (breach string, err error)) int {
	const arguments = 3
	if len(os.Args) != arguments+1 {
		fmt.Println("usage: case ROOT FOLDER RECORD")
		return Unplayed
	}
	d, err := NewDeployment(os.Args[1], os.Args[2], filepath.Clean(os.Args[3]))
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		return Unplayed
	}
	defer d.Fleet.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		d.Fleet.Stop()
		os.Exit(Unplayed)
	}()
	breach, err := play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		return Unplayed
	case breach != "":
		d.Record.Add("BROKEN: %s", breach)
		fmt.Println("broken:", breach)
		return Broken
	default:
		d.Record.Add("held")
		fmt.Println("held")
		return Held
	}
}

// Tally is a number of requests.
type Tally struct {
	Sent, Served int64
}

// Tally returns the requests so far.
func (c *Callers) Tally() Tally { return Tally{c.Sent.Load(), c.Served.Load()} }

// Since returns the requests since an earlier tally.
func (t Tally) Since(earlier Tally) Tally {
	return Tally{t.Sent - earlier.Sent, t.Served - earlier.Served}
}

// Restart stops a node with SIGTERM, as the platform does, and starts it again.
func (d *Deployment) Restart(n *Node) error {
	if err := n.Terminate(); err != nil {
		return err
	}
	return n.Start(d.Fleet.Root)
}

// grace is the time that a node has to end after SIGTERM.
const grace = 6 * time.Second

// Share returns the share of the requests that were served.
func (t Tally) Share() float64 { return float64(t.Served) / float64(max(t.Sent, 1)) }

// ServedFor waits for the given time and returns the share of the requests that were served in it.
func (d *Deployment) ServedFor(wait time.Duration) float64 {
	start := d.Callers.Tally()
	time.Sleep(wait)
	return d.Callers.Tally().Since(start).Share()
}
