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
	// lastPort is below the kernel's ephemeral port range for outgoing connections.
	lastPort = 32_000
	// portBlockSize is the number of ports reserved for one fleet.
	portBlockSize = 600
)

// portAllocator allocates loopback addresses that are free for TCP and UDP. Each fleet
// reserves its own block of ports, so that the ports of a stopped instance are still free
// when it restarts.
type portAllocator struct {
	// lock listens on the first port of the block while the block is reserved.
	lock net.Listener

	mu   sync.Mutex
	next int
	end  int
}

// reservePorts reserves a block of ports. The returned function releases it.
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
	return nil, nil, errors.New("all blocks of loopback ports are in use")
}

// allocate returns a free ip:port.
func (p *portAllocator) allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.next+1 < p.end {
		p.next++
		if address := loopback(p.next); isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("the fleet's block of ports is exhausted")
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
