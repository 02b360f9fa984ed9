package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	callerPort  = 7001
	peerPort    = 7002
	backendPort = 7003
	logPort     = 7004
	relayPort   = 7005
	// networkTries is how many loopback networks are tried for a free one.
	networkTries = 50
)

// network is a part of 127.0.0.0/8 with an IP for each VM. Its ports lie under
// the range that the system hands out for outgoing connections.
type network struct {
	prefix string
}

// pickNetwork finds a network on whose first address nothing listens.
func pickNetwork() (network, error) {
	for range networkTries {
		picked := network{prefix: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
		listener, err := net.Listen("tcp", picked.address(1, logPort))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return network{}, newError("pick network", KindAddress, "%w", err)
		}
		return picked, nil
	}
	return network{}, newError("pick network", KindAddress, "no free network in %d tries", networkTries)
}

// address returns the IP and port of a VM, numbered from 1.
func (n network) address(vm, port int) string {
	return fmt.Sprintf("%s.%d:%d", n.prefix, vm, port)
}
