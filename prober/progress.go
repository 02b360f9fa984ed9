package prober

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Progress provides this node's replication progress and receives that of its peers.
type Progress interface {
	// Progress returns this node's own progress.
	Progress() fleet.Progress
	// RecordPeerProgress reports the progress of another node.
	RecordPeerProgress(from fleet.Member, progress fleet.Progress)
	// FetchState returns the replicated state, or nil when it covers no more than knownOffset.
	FetchState(ctx context.Context, knownOffset uint64) (*cowsliptallyv1.Checkpoint, error)
}

// noProgress has no replicated state.
type noProgress struct{}

func (noProgress) Progress() fleet.Progress                        { return fleet.Progress{} }
func (noProgress) RecordPeerProgress(fleet.Member, fleet.Progress) {}
func (noProgress) FetchState(context.Context, uint64) (*cowsliptallyv1.Checkpoint, error) {
	return nil, nil
}
