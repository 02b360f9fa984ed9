package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/daemon"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/settings"
	backendserver "cowsliptally.example/cowsliptally/standin/backend/server"
	logserver "cowsliptally.example/cowsliptally/standin/logservice/server"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	nodeMemory   = 32 << 20
	nodeTimeout  = 5 * time.Second
	readyTimeout = 20 * time.Second
)

// nodeFleet is a number of complete nodes, a log service and a backend server, all
// in this process.
type nodeFleet struct {
	log     *logserver.Server
	nodes   []settings.Node
	backend string
	stop    context.CancelFunc
}

// startNodes starts a fleet in which the last node owns the backend server.
func startNodes(count int) (*nodeFleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &nodeFleet{log: logserver.New(), stop: stop}
	logListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	go func() { _ = http.Serve(logListener, f.log) }()
	for i := range count {
		set, err := f.settingsOf(i, logListener.Addr().String())
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, set)
		node := daemon.New(set)
		go func() { _ = node.Run(ctx) }()
	}
	return f, f.startBackend(ctx)
}

func (f *nodeFleet) settingsOf(i int, logAddress string) (settings.Node, error) {
	callers, err := freeAddress()
	if err != nil {
		return settings.Node{}, err
	}
	peers, err := freeAddress()
	if err != nil {
		return settings.Node{}, err
	}
	set := settings.Node{
		Name: fmt.Sprintf("node-%d", i), CallerAddress: callers, PeerAddress: peers, Zone: "zone-1", Region: "local",
		Log: "http://" + logAddress, Checkpoint: time.Hour, Timeout: nodeTimeout, Shutdown: nodeTimeout,
		MaxBody: 8 << 20, MaxAnswer: 4 << 20, Memory: nodeMemory, Peers: []string{peers},
	}
	if i > 0 {
		set.Peers = []string{f.nodes[0].PeerAddress}
	}
	return set, nil
}

// startBackend starts a backend server without service time beside the last node.
func (f *nodeFleet) startBackend(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.backend = listener.Addr().String()
	owner := f.nodes[len(f.nodes)-1].PeerAddress
	server := backendserver.New("backend-1", sampleService(0), backendserver.WithNode(owner),
		backendserver.WithSlots(64), backendserver.WithWork(time.Microsecond, 0))
	go func() { _ = server.Serve(ctx, listener) }()
	return nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// configure adds one service with a route to the configuration. It retries until
// the fleet is ready.
func (f *nodeFleet) configure() error {
	end := time.Now().Add(readyTimeout)
	service := fleet.Service{Name: sampleService(0), MinHealthySlots: 1}
	for {
		err := f.propose(0,
			&cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: translator.ServiceToMessage(service)}},
			&cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: translator.RouteToMessage(sampleRoute(0))}})
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// propose sends changes to a base revision to the first node.
func (f *nodeFleet) propose(base uint64, changes ...*cowsliptallyv1.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), nodeTimeout)
	defer cancel()
	client := cowsliptallyv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.nodes[0].PeerAddress)
	response, err := client.Propose(ctx, connect.NewRequest(&cowsliptallyv1.ProposeRequest{
		Proposal: &cowsliptallyv1.Proposal{
			Operation: fmt.Sprintf("operation-%d", base), BaseRevision: base, Author: "slopes", Changes: changes,
		},
	}))
	if err != nil {
		return err
	}
	if refusal := response.Msg.GetVerdict().GetRefusal(); refusal != "" {
		return fmt.Errorf("change on revision %d refused: %s", base, refusal)
	}
	return nil
}
