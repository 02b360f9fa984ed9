package operator

import (
	"context"

	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Keeper holds the fleet's state at this node.
type Keeper interface {
	State() folder.State
	Ready() bool
	// Propose appends a proposal and returns its outcome once it was read back.
	Propose(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error)
	// Lookup returns the outcome of an earlier proposal.
	Lookup(ctx context.Context, operation string) (*cowsliptallyv1.Verdict, bool, error)
}
