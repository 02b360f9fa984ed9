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

// Node is a client of the node on the VM.
type Node interface {
	Announce(context.Context, *connect.Request[cowsliptallyv1.AnnounceRequest]) (
		*connect.Response[cowsliptallyv1.AnnounceResponse], error)
	Leave(context.Context, *connect.Request[cowsliptallyv1.LeaveRequest]) (
		*connect.Response[cowsliptallyv1.LeaveResponse], error)
}

// Announcer renews the lease of one backend server. It is safe for concurrent use.
type Announcer struct {
	node        Node
	clock       clockwork.Clock
	interval    time.Duration
	timeout     time.Duration
	handleError func(error)
	// wake makes Run announce at once.
	wake chan struct{}

	mu          sync.Mutex
	backend     fleet.Backend
	leasedUntil time.Time
	left        bool
	sequence    uint64
}

// New returns an announcer of a backend server to the node at an IP and port.
func New(peerAddress string, backend fleet.Backend, options ...Option) *Announcer {
	a := &Announcer{
		clock:       clockwork.NewRealClock(),
		interval:    defaultInterval,
		timeout:     defaultTimeout,
		handleError: func(error) {},
		wake:        make(chan struct{}, 1),
		backend:     backend,
	}
	for _, option := range options {
		option(a)
	}
	if a.node == nil {
		a.node = newClient(peerAddress)
	}
	return a
}

// newClient returns a client that keeps one connection open. A call that times out
// closes it, so an unresponsive connection costs only one of a lease's announcements.
func newClient(peerAddress string) Node {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	return cowsliptallyv1connect.NewBackendServiceClient(
		&http.Client{Transport: transport}, "http://"+peerAddress)
}

// Run announces the backend server at each interval until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			a.handleError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.clock.After(a.interval):
		case <-a.wake:
		}
	}
}

// Announce renews the lease once. The lease is counted from before the call, so that
// a pause of the backend server can only shorten it.
func (a *Announcer) Announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	start := a.clock.Now()
	response, err := a.node.Announce(ctx, connect.NewRequest(a.message()))
	if err != nil {
		return operationError("announce", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	until := start.Add(time.Duration(response.Msg.GetLeaseMs()) * time.Millisecond)
	if until.After(a.leasedUntil) {
		a.leasedUntil = until
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
	return a.clock.Now().Before(a.leasedUntil)
}

// Leave stops new work for the backend server and returns the number of requests that
// still run on it. It may be called again until that is zero; Run should continue
// meanwhile.
func (a *Announcer) Leave(ctx context.Context) (inFlight int, err error) {
	a.mu.Lock()
	a.left = true
	a.backend.State = fleet.BackendDraining
	id := string(a.backend.ID)
	a.mu.Unlock()
	request := &cowsliptallyv1.LeaveRequest{Id: id}
	response, err := a.node.Leave(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeNotFound {
		// The node was replaced, and the backend server is not registered with the new one yet.
		if err := a.Announce(ctx); err != nil {
			return 0, err
		}
		response, err = a.node.Leave(ctx, connect.NewRequest(request))
	}
	if err != nil {
		return 0, operationError("leave", err)
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

func operationError(operation string, err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition, connect.CodeNotFound:
		return fault.New(operation, KindRefused, "%w", err)
	default:
		return fault.New(operation, KindUnreachable, "%w", err)
	}
}
