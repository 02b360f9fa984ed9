package reconciler

import (
	"context"

	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Keeper provides the replicated state at this node and appends records.
type Keeper interface {
	State() folder.State
	Ready() bool
	Append(ctx context.Context, record *cowsliptallyv1.Record) error
}
