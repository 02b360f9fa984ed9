// Package settings defines and validates the settings of a node.
package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"
)

const (
	minMemoryBytes = 1 << 20
	maxMemoryBytes = 64 << 30
	maxHeadBytes   = 1 << 20
	// minDescriptors leaves some for each use after the node's own files.
	minDescriptors = 256
	// maxNoWaitAttempts limits the messages for one request while all backend servers are full.
	maxNoWaitAttempts = 16
)

// VerdictsOwner is the value of Verdicts with which each owner alone evaluates the
// health of its backend servers.
const VerdictsOwner = "owner"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Node holds the settings of one node. Each field is set by a command-line flag or an
// environment variable, such as --caller-address and COWSLIPTALLY_CALLER_ADDRESS.
type Node struct {
	Name                  string        `help:"Name in logs and events; each start adds a random suffix." default:"node"`
	CallerAddress         string        `help:"Address that callers send requests to." required:"" placeholder:"IP:PORT"`
	PeerAddress           string        `help:"Address for other nodes, for backend servers of this VM and for operators." required:"" placeholder:"IP:PORT"`
	AdvertisedPeerAddress string        `help:"Peer address that is announced to other nodes; by default --peer-address." placeholder:"IP:PORT"`
	Zone                  string        `help:"Availability zone of this VM." required:""`
	Region                string        `help:"Region of this VM." default:"local"`
	Peers                 []string      `help:"Peer addresses of some other nodes, separated by commas; one that answers is enough." placeholder:"IP:PORT"`
	Log                   string        `help:"Base URL of the platform's log service." required:"" placeholder:"URL"`
	Checkpoint            time.Duration `help:"Longest time between checkpoints; set it well below the log service's retention time." default:"1h"`
	LogLevel              string        `help:"Lowest level of log lines that are written: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	Timeout               time.Duration `help:"Time limit of requests that set none." default:"10s"`
	MaxBody               int64         `help:"Largest request body, in bytes; a larger one is refused with 413." default:"8388608"`
	MaxAnswer             int64         `help:"Largest answer that is buffered until it is complete, in bytes; a larger one is streamed." default:"4194304"`
	Memory                int64         `help:"Largest total size of all bodies in flight, in bytes." default:"33554432"`
	VMMemory              int64         `name:"vm-memory" help:"Memory of the VM, in bytes, that the garbage collector keeps to unless GOMEMLIMIT is set; 0 is no such limit." default:"0"`
	MaxHead               int           `help:"Largest head of a request without its first line, in bytes; a larger one is refused with 431." default:"16384"`
	HeaderTimeout         time.Duration `help:"Time from the first byte of a request's head to its last." default:"10s"`
	IdleTimeout           time.Duration `help:"Time after which an unused connection of a caller is closed." default:"2m"`
	Descriptors           int           `help:"Number of file descriptors that the node may use; 0 is the limit of the process." default:"0"`
	Linger                time.Duration `help:"Time after SIGTERM during which new requests are still accepted, so that callers can move to other nodes." default:"2s"`
	Glances               int           `help:"Maximum number of no-wait attempts of a request, each at a different backend server and refused if no slot is free, before it waits for a slot at one." default:"0"`
	Verdicts              string        `help:"Health evaluation of backend servers: by the fleet, or by each owner alone from the results of the last seconds." enum:"fleet,owner" default:"fleet"`
	RepeatErrors          bool          `help:"Retry idempotent requests that a backend server answered with an error." default:"false"`
	Undelimited           bool          `help:"Accept answers of backend servers that are delimited only by the close of the connection." default:"false"`
	Echoes                bool          `help:"Backend servers repeat each request's identifier in its answer: on a connection in use again, refuse answers without one." default:"false"`
	Lease                 time.Duration `help:"Time without an announcement after which a backend server is marked as gone." default:"3s"`
	DialTimeout           time.Duration `help:"Time limit of a new connection to a node or backend server." default:"1s"`
	PeerIdle              time.Duration `help:"Time after which an unused connection to another node is closed." default:"4s"`
	BackendIdle           time.Duration `help:"Time after which an unused connection to a backend server is closed; set it below the backend server's own idle timeout." default:"4s"`
	Shutdown              time.Duration `help:"Longest wait for requests in flight after SIGTERM." default:"30s"`
}

// Check returns an *Error for the first invalid setting, or nil.
func (n Node) Check() error {
	if err := n.CheckWithoutLog(); err != nil {
		return err
	}
	return n.checkLog()
}

// CheckWithoutLog checks all settings except the log service's address, for nodes that
// get their configuration from another source.
func (n Node) CheckWithoutLog() error {
	checks := []func() error{
		func() error { return checkName("--name", n.Name) },
		func() error { return checkAddress("--caller-address", n.CallerAddress) },
		func() error { return checkAddress("--peer-address", n.PeerAddress) },
		n.checkAdvertised,
		func() error { return checkName("--zone", n.Zone) },
		func() error { return checkName("--region", n.Region) },
		n.checkPeers,
		func() error { return checkPositive("--checkpoint", n.Checkpoint) },
		func() error { return checkPositive("--timeout", n.Timeout) },
		func() error { return checkBytes("--max-body", n.MaxBody, 1) },
		func() error { return checkBytes("--max-answer", n.MaxAnswer, 1) },
		func() error { return checkBytes("--memory", n.Memory, minMemoryBytes) },
		n.checkVMMemory,
		n.checkHeads,
		func() error { return checkPositive("--linger", n.Linger) },
		func() error { return checkPositive("--shutdown", n.Shutdown) },
		func() error { return checkPositive("--lease", n.Lease) },
		func() error { return checkPositive("--dial-timeout", n.DialTimeout) },
		func() error { return checkPositive("--peer-idle", n.PeerIdle) },
		func() error { return checkPositive("--backend-idle", n.BackendIdle) },
		n.checkNoWaitAttempts,
		n.checkDistinct,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (n Node) checkNoWaitAttempts() error {
	if n.Glances >= 0 && n.Glances <= maxNoWaitAttempts {
		return nil
	}
	return &Error{Flag: "--glances", Value: strconv.Itoa(n.Glances), Expected: "a number from 0 to " + strconv.Itoa(maxNoWaitAttempts)}
}

// checkHeads checks the limits of heads and connections; 0 selects the default.
func (n Node) checkHeads() error {
	if n.MaxHead < 0 || n.MaxHead > maxHeadBytes {
		return &Error{Flag: "--max-head", Value: strconv.Itoa(n.MaxHead), Expected: "a number of bytes from 1 to " + strconv.Itoa(maxHeadBytes)}
	}
	if n.HeaderTimeout < 0 {
		return &Error{Flag: "--header-timeout", Value: n.HeaderTimeout.String(), Expected: "a duration above 0 such as 10s"}
	}
	if n.IdleTimeout < 0 {
		return &Error{Flag: "--idle-timeout", Value: n.IdleTimeout.String(), Expected: "a duration above 0 such as 2m"}
	}
	if n.Descriptors != 0 && n.Descriptors < minDescriptors {
		return &Error{Flag: "--descriptors", Value: strconv.Itoa(n.Descriptors), Expected: "0 or a number from " + strconv.Itoa(minDescriptors)}
	}
	return nil
}

func (n Node) checkPeers() error {
	for _, peer := range n.Peers {
		if err := checkAddress("--peers", peer); err != nil {
			return err
		}
	}
	return nil
}

func (n Node) checkAdvertised() error {
	if n.AdvertisedPeerAddress == "" {
		return nil
	}
	return checkAddress("--advertised-peer-address", n.AdvertisedPeerAddress)
}

func (n Node) checkLog() error {
	address, err := url.Parse(n.Log)
	if err != nil || address.Scheme != "http" && address.Scheme != "https" || address.Host == "" {
		return &Error{Flag: "--log", Value: n.Log, Expected: "a URL such as http://10.0.0.1:7000"}
	}
	return nil
}

func (n Node) checkDistinct() error {
	if n.CallerAddress != n.PeerAddress {
		return nil
	}
	return &Error{Flag: "--peer-address", Value: n.PeerAddress, Expected: "an address other than --caller-address"}
}

func checkName(flag, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	return &Error{Flag: flag, Value: value, Expected: "1 to 63 lower-case letters, digits, dots or dashes, starting with a letter or digit"}
}

func checkAddress(flag, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return &Error{Flag: flag, Value: value, Expected: "an IP number and a port such as 10.0.0.1:7001"}
	}
	return nil
}

func checkPositive(flag string, value time.Duration) error {
	if value > 0 {
		return nil
	}
	return &Error{Flag: flag, Value: value.String(), Expected: "a duration above 0 such as 10s"}
}

func checkBytes(flag string, value, minimum int64) error {
	if value >= minimum && value <= maxMemoryBytes {
		return nil
	}
	expected := "a number of bytes from " + strconv.FormatInt(minimum, 10) + " to " + strconv.FormatInt(maxMemoryBytes, 10)
	return &Error{Flag: flag, Value: strconv.FormatInt(value, 10), Expected: expected}
}
