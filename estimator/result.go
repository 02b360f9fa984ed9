package estimator

// Result is how a request ended.
type Result uint8

const (
	// Answered is a whole answer without an error.
	Answered Result = iota + 1
	// Failed is an error, a broken answer or none in time.
	Failed
	// Undecided is a request without a usable result except its duration, such as one
	// that its caller cancelled.
	Undecided
)
