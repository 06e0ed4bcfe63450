package seamfleet

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	firstPort = 20_000
	// lastPort lies below the ports that the kernel gives to outgoing connections.
	lastPort = 32_000
	portStep = 500
)

// ports hands out loopback addresses that are free for TCP and UDP.
type ports struct {
	mu   sync.Mutex
	next int
}

func newPorts() *ports {
	span := (lastPort - firstPort) / portStep
	return &ports{next: firstPort + os.Getpid()%span*portStep}
}

// take returns a free ip:port.
func (p *ports) take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		if free(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port on the loopback interface")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
