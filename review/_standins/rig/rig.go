// Package rig starts a small deployment for the cases of the review: nodes as separate
// processes on loopback addresses, and stand-ins of the store, the upstreams and the clients.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// Exit codes of a case.
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2

	callerPort   = 7147
	readyPort    = 7141
	controlPort  = 7144
	firstPort    = 7380
	lastPort     = 7395
	upstreamPort = 7145
)

// Rig is one small deployment.
type Rig struct {
	// Trouble is false when the case runs without its disruption.
	Trouble bool
	Store   *Store
	Nodes   []*Node

	program string
	folder  string
	network string
	started time.Time

	storeAddress string

	mu     sync.Mutex
	record *os.File
}

// Options are the settings of a deployment.
type Options struct {
	// Services holds the service of each machine; there is one machine for each entry.
	Services []string
	// Config is the operator's first configuration.
	Config string
	// Slots is the number of requests that an upstream runs at a time.
	Slots int
	// Bounds and limits of the site file.
	StableWindowS, AckS, CatchUpS, DrainS, GraceS, ConfigApplyS, StretchS float64
	RetrySlack, MemoryMB, Descriptors                                     int
	CPUShare                                                              float64
	WritesPerS, ReadsPerS                                                 int
}

// Main runs a case and returns its exit code.
func Main(options Options, run func(*Rig) (broken bool, err error)) int {
	r, err := New(options)
	if err != nil {
		fmt.Println("not run:", err)
		return ExitNotRun
	}
	defer r.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		r.Close()
		os.Exit(ExitNotRun)
	}()
	err = r.StartAll()
	broken := false
	if err == nil {
		broken, err = run(r)
	}
	switch {
	case err != nil:
		r.Logf("not run: %v", err)
		fmt.Println("not run:", err)
		return ExitNotRun
	case broken:
		return ExitBroken
	default:
		return ExitHeld
	}
}

// New starts the store. The program of the nodes, the folder of the record and the mode are
// taken from the environment.
func New(options Options) (*Rig, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork(len(options.Services))
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Trouble: os.Getenv("TROUBLE") != "0",
		Store:   newStore(),
		program: os.Getenv("NODE"),
		folder:  folder,
		network: network,
		started: time.Now(),
		record:  record,
	}
	r.Store.Put("keyed.op", "config", options.Config)
	listener, err := net.Listen("tcp", network+".200:0")
	if err != nil {
		return nil, err
	}
	r.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, r.Store) }()
	for i := range options.Services {
		r.Nodes = append(r.Nodes, r.newNode(i, options))
	}
	return r, nil
}

// freeNetwork returns the first three octets of loopback addresses whose ports are free.
func freeNetwork(nodes int) (string, error) {
	for try := range 100 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		free := true
		for i := range nodes {
			for _, port := range []int{callerPort, readyPort, controlPort, firstPort, lastPort, upstreamPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

// Logf writes a line to the record, with the time since the start.
func (r *Rig) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Signal(syscall.SIGKILL)
		n.wait()
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// Wait waits until a condition holds, and reports whether it did in time.
func Wait(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Node is one machine: a node's process and its upstream.
type Node struct {
	Name     string
	IP       string
	Upstream *Upstream

	rig      *Rig
	settings string
	options  Options

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (r *Rig) newNode(i int, options Options) *Node {
	n := &Node{
		Name: fmt.Sprintf("sidecar-%d", i+1), IP: fmt.Sprintf("%s.%d", r.network, i+1),
		rig: r, options: options,
	}
	n.settings = filepath.Join(r.folder, n.Name+".toml")
	n.Upstream = newUpstream(r, n, options.Services[i], options.Slots)
	return n
}

// Outbound is the address for clients.
func (n *Node) Outbound() string { return fmt.Sprintf("%s:%d", n.IP, callerPort) }

// Ready reports whether the node answers its readiness check with 200.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/cowsliptally/ready", n.IP, readyPort))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

const settingsText = `node_name = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = "suwon"
region = "gyeonggi"
port_range = [%d,%d]
seeds = []
bootstrap = %v
in_failure_budget = false
discovery = "local"
entry = "local"
heartbeat_s = 1.5
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
application = "%s:%d"
service = %q
[zones]
suwon = "gyeonggi"
[listen]
inbound = "%s:7146"
outbound = "%s:%d"
readiness_address = "%s:%d"
control_plane = "%s:%d"
[limits]
cpu_share = %v
cores = 1
memory_mb = %d
max_file_descriptors = %d
link_mbps = 200.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_s = %v
ack_s = %v
catch_up_s = %v
drain_s = %v
grace_s = %v
loss_slack_s = 0.2
config_apply_s = %v
revert_slack_s = 0.25
max_stretch_s = %v
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = %d
recovery_s = 15
probes_per_s = 3
floor_share = 0.7
[platform]
address = %q
form = "log"
writes_per_s = %d
reads_per_s = %d
parts = 8
append_s = 0.004
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_s = 1
`

// WriteSettings writes the settings file, in one step as a sound platform does.
func (n *Node) WriteSettings(bootstrap bool) error {
	o := n.options
	text := fmt.Sprintf(settingsText, n.Name, n.IP, firstPort, lastPort, bootstrap, n.IP, upstreamPort, n.Upstream.Service,
		n.IP, n.IP, callerPort, n.IP, readyPort, n.IP, controlPort, o.CPUShare, o.MemoryMB, o.Descriptors,
		o.StableWindowS, o.AckS, o.CatchUpS, o.DrainS, o.GraceS, o.ConfigApplyS, o.StretchS, o.RetrySlack,
		n.rig.storeAddress, o.WritesPerS, o.ReadsPerS)
	next := n.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settings)
}

// Start starts the node's process, as the deploy file does.
func (n *Node) Start() error {
	command := exec.Command(n.rig.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPTALLY_BOOT=" + n.settings}
	log, err := os.OpenFile(filepath.Join(n.rig.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = command, ended
	n.mu.Unlock()
	n.rig.Logf("%s starts as process %d", n.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.rig.Logf("%s process %d ended: %v", n.Name, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// LogPath is the path of the node's output.
func (n *Node) LogPath() string { return filepath.Join(n.rig.folder, n.Name+".log") }

// PID returns the process that was started last.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	command := n.command
	n.mu.Unlock()
	if command == nil {
		return
	}
	if command.Process.Signal(signal) == nil {
		n.rig.Logf("%s gets %v", n.Name, signal)
	}
}

func (n *Node) wait() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Ended is closed when the node's process has ended.
func (n *Node) Ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// StartAll writes all settings, starts all processes and upstreams, and waits until all nodes are
// ready and serve each other's upstreams.
func (r *Rig) StartAll() error {
	for _, n := range r.Nodes {
		if err := n.WriteSettings(true); err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
		if err := n.Upstream.Start(); err != nil {
			return err
		}
	}
	for _, n := range r.Nodes {
		if !Wait(20*time.Second, n.Ready) {
			return fmt.Errorf("%s is not ready", n.Name)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}
