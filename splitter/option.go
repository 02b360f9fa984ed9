package splitter

// Option changes a setting of a Splitter.
type Option func(*Splitter)

// WithRandom sets the source of the points at which sequences begin.
func WithRandom(random func() uint64) Option {
	return func(s *Splitter) { s.random = random }
}
