package reconciler

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
)

// Replicator provides the replicated state at this node and appends records.
type Replicator interface {
	State() reducer.State
	Ready() bool
	Append(ctx context.Context, record *cowsliptallyv1.Record) error
}
