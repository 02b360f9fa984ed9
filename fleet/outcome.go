package fleet

// Executed states whether a request ran on a backend server.
type Executed string

const (
	// ExecutedYes accompanies a complete answer of a backend server.
	ExecutedYes Executed = "yes"
	// ExecutedNo is used only with proof that the request did not and will not run.
	ExecutedNo Executed = "no"
	// ExecutedUnknown is used whenever there is no proof.
	ExecutedUnknown Executed = "unknown"
)

// Outcome is returned to a caller for a request that got no answer.
type Outcome struct {
	Executed Executed
	Reason   Reason
}
