package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// entryPorts and proxyPorts are the first ports of entries and proxies, and portCount their numbers: below those
	// that the kernel chooses itself, so that no other connection gets the port while it isn't listened at.
	entryPorts = 12_000
	proxyPorts = 22_000
	portCount  = 10_000
	// maxPortTries limits the ports that are tried.
	maxPortTries = 100
)

// portSet has the ports that this soak has given out. Nobody listens at some of them for a while: at those of an entry that
// isn't started yet, or of a proxy that refuses connections.
type portSet struct {
	mu    sync.Mutex
	given map[int]bool
}

// ports are the ports of this process.
var ports = &portSet{given: make(map[int]bool)}

// take reports whether a port wasn't given out before, and records it.
func (s *portSet) take(port int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.given[port]
	s.given[port] = true
	return !taken
}

// freeAddress returns a loopback address with an unused port from first on, each only once. The port doesn't depend on the
// seed, since soaks run side by side.
func freeAddress(first int) (string, error) {
	err := errors.New("all ports that were tried are taken")
	for range maxPortTries {
		port := first + rand.IntN(portCount)
		if !ports.take(port) {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, listenErr := net.Listen("tcp", address)
		if listenErr == nil {
			return address, listener.Close()
		}
		err = listenErr
	}
	return "", err
}
