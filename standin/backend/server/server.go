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
	id        fleet.BackendID
	service   fleet.ServiceName
	slots     int
	work      time.Duration
	spread    float64
	coldStart time.Duration
	sink      io.Writer
	seed      uint64
	exit      func(code int)
	node      string

	ledger         *Ledger
	started        time.Time
	running        atomic.Int64
	drainRequested chan struct{}
	drainOnce      sync.Once
	// previous is the identifier of the previous request, for Faults.Wrong.
	previous atomic.Value

	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	listener *silencer
}

// New returns a backend server of a service.
func New(id fleet.BackendID, service fleet.ServiceName, options ...Option) *Server {
	s := &Server{
		id: id, service: service, slots: defaultSlots, work: defaultWork,
		spread: defaultSpread, seed: defaultSeed, exit: os.Exit,
		started: time.Now(), drainRequested: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.ledger = NewLedger(string(id), s.sink)
	s.random = rand.New(rand.NewPCG(s.seed, s.seed))
	s.previous.Store("none")
	return s
}

// Ledger returns the server's ledger.
func (s *Server) Ledger() *Ledger { return s.ledger }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) { s.setFaults(faults, nil) }

// setFaults replaces the faults in force. Faults.Silent does not affect the
// requester's connection, over which the call is answered.
func (s *Server) setFaults(faults Faults, requester net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Silent && s.listener != nil {
		s.listener.silence(requester)
	}
}

// Drain starts to take the server out of its service; it returns at once.
func (s *Server) Drain() {
	s.drainOnce.Do(func() { close(s.drainRequested) })
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/health", s.serveHealth)
	router.Get("/load", s.serveLoad)
	router.Get("/ledger", s.serveLedger)
	router.Post("/faults", s.serveFaults)
	router.Post("/drain", s.serveDrain)
	router.NotFound(s.run)
	router.MethodNotAllowed(s.run)
	return router
}

// Serve answers requests on a listener and announces the server to its node
// until ctx ends; then it leaves, finishes what runs and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	tracked := newSilencer(listener, maxConnections)
	s.mu.Lock()
	s.listener = tracked
	s.mu.Unlock()
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: drainTimeout, ConnContext: withConn}
	served := make(chan error, 1)
	go func() { served <- server.Serve(tracked) }()
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
