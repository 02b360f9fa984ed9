package reconciler

import (
	"context"

	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Keeper holds the fleet's state at this node.
type Keeper interface {
	State() folder.State
	Ready() bool
	Append(ctx context.Context, record *cowsliptallyv1.Record) error
}
