package admitter

// DefaultQueueFactor is the default queue length for each slot.
const DefaultQueueFactor = 1

// Option changes a setting of an Admitter.
type Option func(*Admitter)

// WithQueue sets the number of requests that may wait.
func WithQueue(length int) Option {
	return func(a *Admitter) { a.queueLength = length }
}

// WithUsage sets the record of the organisations' use, which admitters may share.
func WithUsage(usage *Usage) Option {
	return func(a *Admitter) { a.usage = usage }
}
