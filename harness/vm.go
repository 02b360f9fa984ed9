package harness

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/launcher"
	"cowsliptally.example/cowsliptally/relay"
)

// VM is a node and its backend server.
type VM struct {
	Name    string
	Service fleet.ServiceName
	Zone    fleet.Zone
	// Number is the last octet of the VM's IP.
	Number  int
	Node    *launcher.Process
	Backend *launcher.Process
	// CallerAddress, PeerAddress and BackendAddress are IP:PORT.
	CallerAddress  string
	PeerAddress    string
	BackendAddress string
	// Relay forwards connections of other nodes to this one; nil without relays.
	Relay *relay.Relay
	// AdvertisedAddress is the address at which other nodes connect to this one.
	AdvertisedAddress string
}

// BackendID returns the identifier of the backend server.
func (v *VM) BackendID() fleet.BackendID { return fleet.BackendID(v.Name + "-backend") }

// NodeName returns the name of the node.
func (v *VM) NodeName() string { return v.Name + "-node" }

// Kill ends the node and the backend server without notice.
func (v *VM) Kill() {
	v.Node.Kill()
	v.Backend.Kill()
}

// Retire ends the backend server and then the node gracefully.
func (v *VM) Retire(timeout time.Duration) error {
	if err := v.Backend.Terminate(timeout); err != nil {
		return err
	}
	return v.Node.Terminate(timeout)
}
