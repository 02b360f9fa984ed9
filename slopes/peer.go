package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
	"cowsliptally.example/cowsliptally/messenger"
	"cowsliptally.example/cowsliptally/prober"
	"cowsliptally.example/cowsliptally/registrar"
	"cowsliptally.example/cowsliptally/roster"
)

// peer is the membership part of one node on a loopback port.
type peer struct {
	self      fleet.Member
	roster    *roster.Roster
	registrar *registrar.Registrar
	prober    *prober.Prober
	server    *http.Server
	stop      context.CancelFunc
}

// peerFleet is a number of peers in this process.
type peerFleet struct {
	peers []*peer
	// bytes counts the bytes that the connections carried; each byte counts once, at
	// the accepting side.
	bytes atomic.Int64
	stop  context.CancelFunc
}

// startPeers starts a fleet in which the first node is the seed of the others.
func startPeers(count int) (*peerFleet, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &peerFleet{stop: stop}
	for i := range count {
		if err := f.start(ctx, i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *peerFleet) start(ctx context.Context, i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	p := &peer{self: sampleMember(i), roster: roster.New(), stop: stop}
	p.self.PeerAddress = listener.Addr().String()
	p.registrar = registrar.New(p.self.ID, p.self.Zone, registrar.WithDirectory(p.roster))
	seeds := []string{p.self.PeerAddress}
	if i > 0 {
		seeds = []string{f.peers[0].self.PeerAddress}
	}
	p.prober = prober.New(p.self, p.roster, messenger.New(),
		prober.WithOwner(p.registrar), prober.WithSeeds(seeds...))
	p.registrar.Watch(p.prober)
	mux := http.NewServeMux()
	mux.Handle(cowsliptallyv1connect.NewPeerServiceHandler(p.prober))
	p.server = &http.Server{Handler: mux}
	f.peers = append(f.peers, p)
	go func() { _ = p.server.Serve(countingListener{listener, &f.bytes}) }()
	go func() { _ = p.registrar.Run(ctx) }()
	go func() { _ = p.prober.Run(ctx) }()
	return nil
}

func (f *peerFleet) close() {
	f.stop()
	for _, p := range f.peers {
		p.kill()
	}
}

// kill stops a node abruptly, without a leave.
func (p *peer) kill() {
	p.stop()
	_ = p.server.Close()
}

// announce adds a backend server to a peer or renews its lease.
func (p *peer) announce(id fleet.BackendID, service fleet.ServiceName) error {
	request := connect.NewRequest(&cowsliptallyv1.AnnounceRequest{
		Id: string(id), Service: string(service), Address: "127.0.0.1:1", Slots: 4,
		State: cowsliptallyv1.BackendState_BACKEND_STATE_READY,
	})
	_, err := p.registrar.Announce(context.Background(), request)
	return err
}

// leave drains a backend server of a peer.
func (p *peer) leave(id fleet.BackendID) error {
	request := connect.NewRequest(&cowsliptallyv1.LeaveRequest{Id: string(id)})
	_, err := p.registrar.Leave(context.Background(), request)
	return err
}

// sampleID returns the ID of one generation of the backend server of a node.
func sampleID(node, generation int) fleet.BackendID {
	return fleet.BackendID(fmt.Sprintf("backend-%04d-%04d", node, generation))
}
