package prober

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Progress provides this node's replication progress and receives that of its peers.
type Progress interface {
	// Position returns the revision in force and the first offset whose record is not yet applied.
	Position() (revision fleet.Revision, nextOffset uint64)
	// RecordPeerProgress reports the progress of another node.
	RecordPeerProgress(from fleet.Member, revision fleet.Revision, nextOffset uint64)
	// FetchState returns the replicated state, or nil when it covers no more than knownOffset.
	FetchState(ctx context.Context, knownOffset uint64) (*cowsliptallyv1.Checkpoint, error)
}

// noProgress has no replicated state.
type noProgress struct{}

func (noProgress) Position() (fleet.Revision, uint64)                      { return 0, 0 }
func (noProgress) RecordPeerProgress(fleet.Member, fleet.Revision, uint64) {}
func (noProgress) FetchState(context.Context, uint64) (*cowsliptallyv1.Checkpoint, error) {
	return nil, nil
}
