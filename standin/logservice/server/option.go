package server

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Server.
type Option func(*Server)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Server) { s.clock = clock }
}

// WithFaults sets the first faults.
func WithFaults(faults Faults) Option {
	return func(s *Server) { s.faults = faults }
}
