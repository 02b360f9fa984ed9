package server

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Server.
type Option func(*Server)

// WithClock replaces the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Server) { s.clock = clock }
}

// WithFaults sets the faults that are in force from the start.
func WithFaults(faults Faults) Option {
	return func(s *Server) { s.faults = faults }
}
