package checkpointer

import (
	"context"

	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/keeper"
)

// Keeper holds the fleet's state at this node.
type Keeper interface {
	State() folder.State
	Ready() bool
	Status() keeper.Status
	Window() keeper.Window
	Append(ctx context.Context, record *cowsliptallyv1.Record) error
}
