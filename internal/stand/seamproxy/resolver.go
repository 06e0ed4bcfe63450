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

// Processes resolves connections by the process that holds their remote end. It reads
// /proc of the processes that were added to it and of no others.
type ProcessResolver struct {
	mu     sync.Mutex
	places map[int]Location
}

// NewProcesses returns an empty set.
func NewProcessResolver() *ProcessResolver {
	return &ProcessResolver{places: map[int]Location{}}
}

// Add says that the process stands at a place.
func (s *ProcessResolver) Add(pid int, p Location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places[pid] = p
}

// Remove forgets a process.
func (s *ProcessResolver) Remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.places, pid)
}

// Resolve implements Resolver. A connection of an unknown process has the zero Place.
func (s *ProcessResolver) Resolve(remote, local net.Addr) Location {
	inode := socketInode(remote, local)
	if inode == 0 {
		return Location{}
	}
	s.mu.Lock()
	places := make(map[int]Location, len(s.places))
	for pid, p := range s.places {
		places[pid] = p
	}
	s.mu.Unlock()
	for pid, p := range places {
		if holds(pid, inode) {
			return p
		}
	}
	return Location{}
}

// socketInode returns the inode of the socket with the addresses, or 0. It asks the kernel for this one
// socket: a list of all takes tens of milliseconds on a machine with many connections.
func socketInode(local, remote net.Addr) uint32 {
	socket, err := netlink.SocketGet(local, remote)
	if err != nil {
		return 0
	}
	return socket.INode
}

// holds reports whether the process has the socket open.
func holds(pid int, inode uint32) bool {
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

// Fixed resolves every connection to one place.
type FixedResolver Location

// Resolve implements Resolver.
func (f FixedResolver) Resolve(net.Addr, net.Addr) Location { return Location(f) }
