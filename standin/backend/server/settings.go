package server

import (
	"io"
	"time"
)

const (
	defaultSlots = 4
	// maxConnections bounds the open connections; further ones are closed.
	maxConnections = 360
	defaultWork    = 5 * time.Millisecond
	defaultSpread  = 0.3
	defaultSeed    = 1
	// coldStartFactor multiplies the service time during the cold start.
	coldStartFactor   = 4.0
	leavePollInterval = 50 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight and the time in which
	// the headers of a request are read.
	drainTimeout = 20 * time.Second
	// maxBodyBytes is the length at which a request's body is cut off.
	maxBodyBytes = 64 << 20
)

// Option changes a setting of a Server.
type Option func(*Server)

// WithSlots sets how many requests run at a time.
func WithSlots(slots int) Option { return func(s *Server) { s.slots = slots } }

// WithWork sets the median service time and the sigma of its log-normal spread.
func WithWork(median time.Duration, sigma float64) Option {
	return func(s *Server) { s.work, s.spread = median, sigma }
}

// WithColdStart sets how long the server is slow after its start. Meanwhile it
// announces that it is starting.
func WithColdStart(d time.Duration) Option { return func(s *Server) { s.coldStart = d } }

// WithLedgerSink sets the writer to which the ledger's lines are written.
func WithLedgerSink(sink io.Writer) Option { return func(s *Server) { s.sink = sink } }

// WithSeed sets the seed from which service times and faults are drawn.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithExit replaces os.Exit for Faults.Crash.
func WithExit(exit func(code int)) Option { return func(s *Server) { s.exit = exit } }

// WithNode sets the peer address of the node to which the server announces itself.
func WithNode(address string) Option { return func(s *Server) { s.node = address } }
