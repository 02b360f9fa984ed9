package checkpointer

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/replicator"
)

// Replicator provides the replicated state at this node and appends records.
type Replicator interface {
	State() reducer.State
	Ready() bool
	Status() replicator.Status
	Window() replicator.Window
	Append(ctx context.Context, record *cowsliptallyv1.Record) error
}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

// noop records nothing.
type noop struct{}

func (noop) Record(fleet.Event) {}
