package detector

// Cause is the test that gave the most evidence.
type Cause string

const (
	// CauseSlow is a backend server with long service times.
	CauseSlow Cause = "slow"
	// CausePath is a backend server with long times on the network path or in its queue.
	CausePath Cause = "path"
	// CauseErrors is a backend server with failed or broken answers.
	CauseErrors Cause = "errors"
	// CauseStuck is a backend server that leaves requests without an answer.
	CauseStuck Cause = "stuck"
)

// Score is the evidence against one backend server.
type Score struct {
	// LLR is the log-likelihood ratio, in nats, over that of the service's median
	// backend server.
	LLR   float64
	Cause Cause
	// Kind is the index of the request kind in the service's list; 0 is all kinds.
	Kind int
	// Failures is the number of failed answers within the evidence.
	Failures int
}
