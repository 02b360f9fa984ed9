package prober

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Progress joins the prober with the part that holds the configuration.
type Progress interface {
	// Known returns the revision in force and the first offset not folded here.
	Known() (revision fleet.Revision, nextOffset uint64)
	// Heard tells how far another node is.
	Heard(from fleet.Member, revision fleet.Revision, nextOffset uint64)
	// FetchState returns the folded state, or nil when it covers no more than knownOffset.
	FetchState(ctx context.Context, knownOffset uint64) (*cowsliptallyv1.Checkpoint, error)
}

// noProgress holds no configuration.
type noProgress struct{}

func (noProgress) Known() (fleet.Revision, uint64)            { return 0, 0 }
func (noProgress) Heard(fleet.Member, fleet.Revision, uint64) {}
func (noProgress) FetchState(context.Context, uint64) (*cowsliptallyv1.Checkpoint, error) {
	return nil, nil
}
