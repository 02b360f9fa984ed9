package announcer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// Node is the node on the VM.
type Node interface {
	Announce(context.Context, *connect.Request[cowsliptallyv1.AnnounceRequest]) (
		*connect.Response[cowsliptallyv1.AnnounceResponse], error)
	Leave(context.Context, *connect.Request[cowsliptallyv1.LeaveRequest]) (
		*connect.Response[cowsliptallyv1.LeaveResponse], error)
}

// Announcer renews the lease of one backend server. It is safe for concurrent use.
type Announcer struct {
	node     Node
	clock    clockwork.Clock
	interval time.Duration
	timeout  time.Duration
	failure  func(error)
	// wake asks Run for an announcement at once.
	wake chan struct{}

	mu       sync.Mutex
	backend  fleet.Backend
	leased   time.Time
	left     bool
	sequence uint64
}

// New returns an announcer of a backend server to the node at an IP and port.
func New(peerAddress string, backend fleet.Backend, options ...Option) *Announcer {
	a := &Announcer{
		clock:    clockwork.NewRealClock(),
		interval: defaultInterval,
		timeout:  defaultTimeout,
		failure:  func(error) {},
		wake:     make(chan struct{}, 1),
		backend:  backend,
	}
	for _, option := range options {
		option(a)
	}
	if a.node == nil {
		a.node = dial(peerAddress)
	}
	return a
}

// dial returns a client that keeps one connection. A call that meets its time limit
// closes it, so a connection that went silent costs one announcement of a lease.
func dial(peerAddress string) Node {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	return cowsliptallyv1connect.NewBackendServiceClient(
		&http.Client{Transport: transport}, "http://"+peerAddress)
}

// Run announces each interval until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			a.failure(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.clock.After(a.interval):
		case <-a.wake:
		}
	}
}

// Announce renews the lease once. The lease counts from before the call, so that
// a pause of the backend server only shortens it.
func (a *Announcer) Announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	asked := a.clock.Now()
	response, err := a.node.Announce(ctx, connect.NewRequest(a.message()))
	if err != nil {
		return failed("announce", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	until := asked.Add(time.Duration(response.Msg.GetLeaseMs()) * time.Millisecond)
	if until.After(a.leased) {
		a.leased = until
	}
	a.sequence = max(a.sequence, response.Msg.GetSequence())
	return nil
}

// SetState changes the announced state and announces it at once. A backend server
// that left stays draining.
func (a *Announcer) SetState(state fleet.BackendState) {
	a.mu.Lock()
	if !a.left {
		a.backend.State = state
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Leased reports whether the node on the VM holds a lease of this backend server.
func (a *Announcer) Leased() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now().Before(a.leased)
}

// Leave stops new work for the backend server and returns the requests that still
// run on it. It may be called again until none does; Run should go on meanwhile.
func (a *Announcer) Leave(ctx context.Context) (inFlight int, err error) {
	a.mu.Lock()
	a.left = true
	a.backend.State = fleet.BackendDraining
	id := string(a.backend.ID)
	a.mu.Unlock()
	request := &cowsliptallyv1.LeaveRequest{Id: id}
	response, err := a.node.Leave(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeNotFound {
		// The node was replaced and does not know the backend server yet.
		if err := a.Announce(ctx); err != nil {
			return 0, err
		}
		response, err = a.node.Leave(ctx, connect.NewRequest(request))
	}
	if err != nil {
		return 0, failed("leave", err)
	}
	return int(response.Msg.GetInFlight()), nil
}

func (a *Announcer) message() *cowsliptallyv1.AnnounceRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &cowsliptallyv1.AnnounceRequest{
		Id:       string(a.backend.ID),
		Service:  string(a.backend.Service),
		Address:  a.backend.Address,
		Slots:    uint32(a.backend.Slots),
		State:    cowsliptallyv1.BackendState(a.backend.State),
		Sequence: a.sequence,
	}
}

func failed(operation string, err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeNotFound:
		return fault.New(operation, KindRefused, "%w", err)
	default:
		return fault.New(operation, KindUnreachable, "%w", err)
	}
}
