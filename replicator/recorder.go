package replicator

import "cowsliptally.example/cowsliptally/fleet"

// Recorder records the events of this node.
type Recorder interface {
	Record(event fleet.Event)
}

// noRecorder discards all events.
type noRecorder struct{}

// Record discards the event.
func (noRecorder) Record(fleet.Event) {}
