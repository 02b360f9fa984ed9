package ejector

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
)

// Judge is the node's own verdict.
type Judge interface {
	// Tick moves trials on and returns what happened.
	Tick(time.Time) []fleet.Event
	// Evidence returns what the node holds against degraded backend servers.
	Evidence() []judge.Evidence
	// Opinion returns the evidence against one backend server.
	Opinion(fleet.BackendID) (judge.Evidence, bool)
}

// Appender adds a record to the fleet's stream.
type Appender interface {
	Append(context.Context, *cowsliptallyv1.Record) error
}

// Messenger gives evidence to another node.
type Messenger interface {
	Testify(context.Context, fleet.NodeID, *cowsliptallyv1.TestifyRequest) (*cowsliptallyv1.TestifyResponse, error)
}

// Fold gives what the fleet agreed on.
type Fold interface {
	Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool)
	Backend(fleet.BackendID) (fleet.Backend, bool)
}

// Members gives the nodes that this node knows of.
type Members interface {
	Members() []fleet.Member
}

// Local gives the backend servers of this VM.
type Local interface {
	Local() []fleet.Backend
}

// Journal takes events.
type Journal interface {
	Record(fleet.Event)
}
