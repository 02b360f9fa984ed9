package sampler

import "github.com/jonboulle/clockwork"

// Option changes a setting of a Sampler.
type Option func(*Sampler)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *Sampler) { s.clock = clock }
}

// WithDirectory sets the directory of the process file system.
func WithDirectory(directory string) Option {
	return func(s *Sampler) { s.directory = directory }
}
