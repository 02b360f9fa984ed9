package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"cowsliptally.example/cowsliptally/fleet"
)

// Server is one backend server.
type Server struct {
	id      fleet.BackendID
	service fleet.ServiceName
	slots   int
	work    time.Duration
	spread  float64
	cold    time.Duration
	sink    io.Writer
	seed    uint64
	exit    func(code int)
	node    string

	ledger   *Ledger
	began    time.Time
	running  atomic.Int64
	draining atomic.Bool
	leave    chan struct{}
	leaving  sync.Once
	// previous is the identifier of an earlier request, for wrong answers.
	previous atomic.Value

	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	conns  *silencer
}

// New returns a backend server of a service.
func New(id fleet.BackendID, service fleet.ServiceName, options ...Option) *Server {
	s := &Server{
		id: id, service: service, slots: defaultSlots, work: defaultWork,
		spread: defaultSpread, seed: defaultSeed, exit: os.Exit,
		began: time.Now(), leave: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.ledger = NewLedger(string(id), s.sink)
	s.random = rand.New(rand.NewPCG(s.seed, s.seed))
	s.previous.Store("none")
	return s
}

// Ledger returns the ledger.
func (s *Server) Ledger() *Ledger { return s.ledger }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.setFaults(faults, nil) }

// setFaults replaces the faults; silence spares the connection that asked for it.
func (s *Server) setFaults(faults Faults, asking net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Silent && s.conns != nil {
		s.conns.silence(asking)
	}
}

// Drain takes the server out of its service; it returns at once.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.leaving.Do(func() { close(s.leave) })
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/health", s.health)
	router.Get("/load", s.load)
	router.Get("/ledger", s.listLedger)
	router.Post("/faults", s.takeFaults)
	router.Post("/drain", s.takeDrain)
	router.NotFound(s.run)
	router.MethodNotAllowed(s.run)
	return router
}

// Serve answers requests on a listener and announces the server to its node
// until ctx ends; then it leaves, finishes what runs and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	conns := newSilencer(listener, defaultConnections)
	s.mu.Lock()
	s.conns = conns
	s.mu.Unlock()
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: drainTimeout, ConnContext: withConn}
	served := make(chan error, 1)
	go func() { served <- server.Serve(conns) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announce(listener.Addr().String())
	}()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.Drain()
	<-announced
	return s.shutDown(server)
}

func (s *Server) shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
