package server

import (
	"io"
	"time"
)

const (
	defaultSlots       = 4
	defaultConnections = 360
	defaultWork        = 5 * time.Millisecond
	defaultSpread      = 0.3
	defaultSeed        = 1
	coldFactor         = 4.0
	leavePeriod        = 50 * time.Millisecond
	drainTimeout       = 20 * time.Second
	maxBody            = 64 << 20
)

// Option changes a setting of a server.
type Option func(*Server)

// WithSlots sets how many requests run at a time.
func WithSlots(slots int) Option { return func(s *Server) { s.slots = slots } }

// WithWork sets the median service time and the sigma of its log-normal spread.
func WithWork(median time.Duration, sigma float64) Option {
	return func(s *Server) { s.work, s.spread = median, sigma }
}

// WithColdStart sets how long the server is slow after its start.
func WithColdStart(d time.Duration) Option { return func(s *Server) { s.cold = d } }

// WithLedgerSink sets where ledger lines go.
func WithLedgerSink(sink io.Writer) Option { return func(s *Server) { s.sink = sink } }

// WithSeed sets the seed of service times and faults.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithExit replaces the end of the process on a crash request.
func WithExit(exit func(code int)) Option { return func(s *Server) { s.exit = exit } }

// WithNode sets the peer address of the node to which the server announces itself.
func WithNode(address string) Option { return func(s *Server) { s.node = address } }
