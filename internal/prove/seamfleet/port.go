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
	// blockSize is the number of ports that one fleet may use.
	portBlockSize = 600
)

// ports hands out loopback addresses that are free for TCP and UDP. Each fleet
// has a block of ports to itself, so that an instance that is down for a while
// finds its ports free when it returns.
type portAllocator struct {
	// guard listens on the first port of the block as long as the block is in use.
	lock net.Listener

	mu   sync.Mutex
	next int
	end  int
}

// newPorts takes a block. The clean-up function gives it back.
func reservePorts() (*portAllocator, func(), error) {
	blocks := (lastPort - firstPort) / portBlockSize
	for n := range blocks {
		first := firstPort + (os.Getpid()+n)%blocks*portBlockSize
		lock, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p := &portAllocator{lock: lock, next: first, end: first + portBlockSize}
		return p, func() { _ = lock.Close() }, nil
	}
	return nil, nil, errors.New("every block of loopback ports is in use")
}

// take returns a free ip:port.
func (p *portAllocator) allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.next+1 < p.end {
		p.next++
		if address := loopback(p.next); isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("the fleet's block of ports is used up")
}

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

func isFree(address string) bool {
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
