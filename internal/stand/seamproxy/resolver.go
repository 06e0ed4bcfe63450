package seamproxy

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/vishvananda/netlink"
)

// ProcessResolver resolves a connection to the location of the process that holds its remote
// end. It reads /proc only of the processes that were added to it.
type ProcessResolver struct {
	mu        sync.Mutex
	locations map[int]Location
}

// NewProcessResolver returns a resolver without processes.
func NewProcessResolver() *ProcessResolver {
	return &ProcessResolver{locations: map[int]Location{}}
}

// Add sets the location of a process.
func (s *ProcessResolver) Add(pid int, p Location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.locations[pid] = p
}

// Remove removes a process.
func (s *ProcessResolver) Remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.locations, pid)
}

// Resolve implements Resolver. It returns the zero Location for a connection of an unknown process.
func (s *ProcessResolver) Resolve(remote, local net.Addr) Location {
	inode := socketInode(remote, local)
	if inode == 0 {
		return Location{}
	}
	s.mu.Lock()
	locations := make(map[int]Location, len(s.locations))
	for pid, p := range s.locations {
		locations[pid] = p
	}
	s.mu.Unlock()
	for pid, p := range locations {
		if hasSocket(pid, inode) {
			return p
		}
	}
	return Location{}
}

// socketInode returns the inode of the socket with the addresses, or 0 if there is none. It asks
// the kernel for this socket only, because listing all sockets takes tens of milliseconds on a
// machine with many connections.
func socketInode(local, remote net.Addr) uint32 {
	socket, err := netlink.SocketGet(local, remote)
	if err != nil {
		return 0
	}
	return socket.INode
}

// hasSocket reports whether the process has the socket open.
func hasSocket(pid int, inode uint32) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && link == want {
			return true
		}
	}
	return false
}

// FixedResolver resolves every connection to the same location.
type FixedResolver Location

// Resolve implements Resolver.
func (f FixedResolver) Resolve(net.Addr, net.Addr) Location { return Location(f) }
