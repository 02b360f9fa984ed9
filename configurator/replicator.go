package configurator

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
)

// Replicator holds this node's copy of the replicated state.
type Replicator interface {
	// State returns the current state.
	State() reducer.State
	// Ready reports whether the state is up to date.
	Ready() bool
	// Propose appends a proposal to the log and returns its result once the record was
	// read back.
	Propose(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error)
	// Lookup returns the result of an earlier proposal, if it is in the log.
	Lookup(ctx context.Context, operation string) (*cowsliptallyv1.Verdict, bool, error)
}
