package ejector

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
)

// Judge evaluates health at this node.
type Judge interface {
	// Tick advances holds and probations and returns the events since the last call.
	Tick(time.Time) []fleet.Event
	// Evidence returns the node's evidence against degraded backend servers.
	Evidence() []judge.Evidence
	// Opinion returns the evidence against one backend server.
	Opinion(fleet.BackendID) (judge.Evidence, bool)
}

// Appender adds a record to the fleet's stream.
type Appender interface {
	Append(context.Context, *cowsliptallyv1.Record) error
}

// Messenger reports evidence to another node.
type Messenger interface {
	Testify(context.Context, fleet.NodeID, *cowsliptallyv1.TestifyRequest) (*cowsliptallyv1.TestifyResponse, error)
}

// Fold reads the replicated state.
type Fold interface {
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
