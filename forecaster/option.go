package forecaster

// Option changes a setting of a Forecaster.
type Option func(*Forecaster)

// WithNewestWeight sets the weight of the newest service time in the estimate, from 0 to 1.
func WithNewestWeight(weight float64) Option {
	return func(f *Forecaster) { f.newestWeight = weight }
}

// WithMaxKinds bounds the request kinds whose service time is estimated.
func WithMaxKinds(bound int) Option {
	return func(f *Forecaster) { f.maxKinds = bound }
}

// WithClip caps each service time at a multiple of the estimate before it is averaged, so that
// a single slow request raises the estimate little.
func WithClip(factor float64) Option {
	return func(f *Forecaster) { f.clip = factor }
}
