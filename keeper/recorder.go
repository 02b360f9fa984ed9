package keeper

import "cowsliptally.example/cowsliptally/fleet"

// Recorder takes the events of this node.
type Recorder interface {
	Record(event fleet.Event)
}

// noRecorder drops events.
type noRecorder struct{}

// Record drops the event.
func (noRecorder) Record(fleet.Event) {}
