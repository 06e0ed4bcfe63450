package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort lie below the ports that the kernel gives to clients, so that none of these takes a port between
	// its choice and the start of its process.
	firstPort, lastPort = 12000, 32000
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + rand.IntN(lastPort-firstPort-1000)
)

// freeAddress returns a loopback address with a port that is free and was not returned before.
func freeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for ; nextPort < lastPort; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		nextPort++
		return address
	}
	panic("no free port")
}
