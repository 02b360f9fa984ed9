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
	// networkTries is the number of loopback networks tried to find a free one.
	networkTries = 50
)

// network is a /24 of 127.0.0.0/8 with one IP per VM. Its ports are below the
// system's range of ephemeral ports.
type network struct {
	prefix string
}

// pickNetwork returns a network whose first address is not in use.
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

// address returns the IP:PORT of a VM, given by its number; 1 is the log service.
func (n network) address(vm, port int) string {
	return fmt.Sprintf("%s.%d:%d", n.prefix, vm, port)
}
