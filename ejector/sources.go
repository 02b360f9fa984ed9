package ejector

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Evaluator evaluates health at this node.
type Evaluator interface {
	// Tick advances holds and probations and returns the events since the last call.
	Tick(time.Time) []fleet.Event
	// Evidence returns the node's evidence against degraded backend servers.
	Evidence() []evaluator.Evidence
	// OwnEvidence returns the evidence against one backend server.
	OwnEvidence(fleet.BackendID) (evaluator.Evidence, bool)
}

// Appender adds a record to the fleet's stream.
type Appender interface {
	Append(context.Context, *cowsliptallyv1.Record) error
}

// Messenger reports evidence to another node.
type Messenger interface {
	Testify(context.Context, fleet.NodeID, *cowsliptallyv1.TestifyRequest) (*cowsliptallyv1.TestifyResponse, error)
}

// State reads the replicated state.
type State interface {
	Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool)
	Backend(fleet.BackendID) (fleet.Backend, bool)
}

// Members lists the nodes of the membership table.
type Members interface {
	Members() []fleet.Member
}

// Local lists the backend servers of this VM.
type Local interface {
	Local() []fleet.Backend
}

// Journal records events.
type Journal interface {
	Record(fleet.Event)
}
