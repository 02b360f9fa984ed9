package admitter

// DefaultQueueFactor is the length of the queue in multiples of the slots.
const DefaultQueueFactor = 4

// Option changes a setting of an Admitter.
type Option func(*Admitter)

// WithQueue sets the number of requests that may wait.
func WithQueue(length int) Option {
	return func(a *Admitter) { a.queueLength = length }
}

// WithUsage shares the record of the organisations' use between admitters.
func WithUsage(usage *Usage) Option {
	return func(a *Admitter) { a.usage = usage }
}
