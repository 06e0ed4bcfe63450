package seamproxy

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Processes resolves connections by the process that holds their remote end. It reads
// /proc of the processes that were added to it and of no others.
type Processes struct {
	mu     sync.Mutex
	places map[int]Place
}

// NewProcesses returns an empty set.
func NewProcesses() *Processes {
	return &Processes{places: map[int]Place{}}
}

// Add says that the process stands at a place.
func (s *Processes) Add(pid int, p Place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places[pid] = p
}

// Remove forgets a process.
func (s *Processes) Remove(pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.places, pid)
}

// Resolve implements Resolver. A connection of an unknown process has the zero Place.
func (s *Processes) Resolve(remote net.Addr) Place {
	a, ok := remote.(*net.TCPAddr)
	if !ok {
		return Place{}
	}
	inode := socketInode(a)
	if inode == "" {
		return Place{}
	}
	s.mu.Lock()
	places := make(map[int]Place, len(s.places))
	for pid, p := range s.places {
		places[pid] = p
	}
	s.mu.Unlock()
	for pid, p := range places {
		if holds(pid, inode) {
			return p
		}
	}
	return Place{}
}

// socketInode returns the inode of the socket that is bound to the address, or "".
func socketInode(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// holds reports whether the process has the socket open.
func holds(pid int, inode string) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && link == want {
			return true
		}
	}
	return false
}

// Fixed resolves every connection to one place.
type Fixed Place

// Resolve implements Resolver.
func (f Fixed) Resolve(net.Addr) Place { return Place(f) }
