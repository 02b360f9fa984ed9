package harness

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/launcher"
	"cowsliptally.example/cowsliptally/relay"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

const (
	// maxSeedPeers limits the running nodes passed to a new node as its peers.
	maxSeedPeers = 3
	// callTimeout limits one call to a process of the fleet.
	callTimeout = 5 * time.Second
	region      = "korea"
)

// Harness is a fleet of processes.
type Harness struct {
	binaries  string
	directory string
	network   network
	launcher  *launcher.Launcher
	client    *http.Client
	log       *launcher.Process
	nodeFlags []string
	relayed   bool
	// relayContext is cancelled when the harness stops.
	relayContext context.Context
	stopRelays   context.CancelFunc

	mu         sync.Mutex
	vms        []*VM
	lastNumber int
}

// Option changes a setting of a harness.
type Option func(*Harness)

// WithNodeFlags adds flags to the command line of every node.
func WithNodeFlags(flags ...string) Option {
	return func(h *Harness) { h.nodeFlags = append(h.nodeFlags, flags...) }
}

// WithRelays adds a relay in front of each node, through which other nodes connect to it.
func WithRelays() Option { return func(h *Harness) { h.relayed = true } }

// New returns a harness that runs the programs in binaries and writes logs and
// ledgers to directory.
func New(binaries, directory string, options ...Option) (*Harness, error) {
	picked, err := pickNetwork()
	if err != nil {
		return nil, err
	}
	h := &Harness{
		binaries: binaries, directory: directory, network: picked,
		launcher: launcher.New(directory), lastNumber: 1,
		// A new connection for each call, as faults make open ones silent.
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	h.relayContext, h.stopRelays = context.WithCancel(context.Background())
	for _, option := range options {
		option(h)
	}
	return h, nil
}

// Stop ends every process. It returns an error for each one that was killed or
// exited with a code other than 0.
func (h *Harness) Stop() error {
	defer h.stopRelays()
	return h.launcher.Stop()
}

// Running returns the names of the running processes.
func (h *Harness) Running() []string { return h.launcher.Running() }

// ProcessIDs returns the operating system's identifiers of the running processes, by name.
func (h *Harness) ProcessIDs() map[string]int { return h.launcher.ProcessIDs() }

// VMs returns all VMs started so far, including ended ones.
func (h *Harness) VMs() []*VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*VM(nil), h.vms...)
}

// CallerAddresses returns the caller addresses of the running nodes.
func (h *Harness) CallerAddresses() []string {
	var addresses []string
	for _, vm := range h.VMs() {
		if !vm.Node.HasEnded() {
			addresses = append(addresses, vm.CallerAddress)
		}
	}
	return addresses
}

// StartVM starts a node and its backend server.
func (h *Harness) StartVM(service fleet.ServiceName, zone fleet.Zone, backendFlags ...string) (*VM, error) {
	vm := h.reserve(service, zone)
	if err := h.startRelay(vm); err != nil {
		return nil, err
	}
	node, err := h.launcher.Start(vm.NodeName(), h.program("cowsliptally"), h.nodeArguments(vm)...)
	if err != nil {
		return nil, err
	}
	vm.Node = node
	if err := h.StartBackend(vm, backendFlags...); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms = append(h.vms, vm)
	return vm, nil
}

// StartBackend starts or restarts the backend server of a VM.
func (h *Harness) StartBackend(vm *VM, flags ...string) error {
	arguments := []string{
		"--id", string(vm.BackendID()), "--service", string(vm.Service),
		"--address", vm.BackendAddress, "--node", vm.PeerAddress,
		"--ledger", h.ledgerFile(vm), "--seed", fmt.Sprint(vm.Number),
	}
	arguments = append(arguments, flags...)
	process, err := h.launcher.Start(string(vm.BackendID()), h.program("backend"), arguments...)
	if err != nil {
		return err
	}
	vm.Backend = process
	return nil
}

// LedgerEntries reads the ledgers of all backend servers, including ended ones.
func (h *Harness) LedgerEntries() ([]server.Entry, error) {
	var entries []server.Entry
	for _, vm := range h.VMs() {
		read, err := readLedgerFile(h.ledgerFile(vm))
		if err != nil {
			return nil, newError("read ledger", KindLedger, "%s: %w", vm.BackendID(), err)
		}
		entries = append(entries, read...)
	}
	return entries, nil
}

// reserve assigns the name, number and addresses of a new VM.
func (h *Harness) reserve(service fleet.ServiceName, zone fleet.Zone) *VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastNumber++
	number := h.lastNumber
	vm := &VM{
		Name: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: zone, Number: number,
		CallerAddress:  h.network.address(number, callerPort),
		PeerAddress:    h.network.address(number, peerPort),
		BackendAddress: h.network.address(number, backendPort),
	}
	vm.AdvertisedAddress = vm.PeerAddress
	if h.relayed {
		vm.AdvertisedAddress = h.network.address(number, relayPort)
	}
	return vm
}

// startRelay starts the relay in front of a VM's node if relays are enabled.
func (h *Harness) startRelay(vm *VM) error {
	if !h.relayed {
		return nil
	}
	listener, err := net.Listen("tcp", vm.AdvertisedAddress)
	if err != nil {
		return err
	}
	vm.Relay = relay.New(vm.PeerAddress)
	go func() { _ = vm.Relay.Serve(h.relayContext, listener) }()
	return nil
}

func (h *Harness) nodeArguments(vm *VM) []string {
	arguments := []string{
		"node", "--name", vm.NodeName(), "--caller-address", vm.CallerAddress,
		"--peer-address", vm.PeerAddress, "--zone", string(vm.Zone), "--region", region,
		"--advertised-peer-address", vm.AdvertisedAddress,
		"--log", "http://" + h.logAddress(),
	}
	if peers := h.seedAddresses(); len(peers) > 0 {
		arguments = append(arguments, "--peers", strings.Join(peers, ","))
	}
	return append(arguments, h.nodeFlags...)
}

// seedAddresses returns the advertised peer addresses of up to maxSeedPeers running nodes.
func (h *Harness) seedAddresses() []string {
	var addresses []string
	for _, vm := range h.VMs() {
		if !vm.Node.HasEnded() && len(addresses) < maxSeedPeers {
			addresses = append(addresses, vm.AdvertisedAddress)
		}
	}
	return addresses
}

func (h *Harness) program(name string) string { return filepath.Join(h.binaries, name) }

func (h *Harness) ledgerFile(vm *VM) string {
	return filepath.Join(h.directory, string(vm.BackendID())+".ledger")
}

func readLedgerFile(path string) ([]server.Entry, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return server.ReadLedger(bytes.NewReader(data))
}
