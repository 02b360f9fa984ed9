package fleet

// Executed tells whether a request ran on a backend server.
type Executed string

const (
	// ExecutedYes is said with a whole answer of a backend server.
	ExecutedYes Executed = "yes"
	// ExecutedNo is said only with proof that the request did not and will not run.
	ExecutedNo Executed = "no"
	// ExecutedUnknown is said whenever there is no proof.
	ExecutedUnknown Executed = "unknown"
)

// Outcome is what a caller is told about a request that got no answer.
type Outcome struct {
	Executed Executed
	Reason   Reason
}
