package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// Locals knows the backend servers of this VM.
type Locals interface {
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// Crashed is told that connections to a backend server are refused.
	Crashed(fleet.BackendID)
}

// Configurations knows the configuration in force.
type Configurations interface {
	Configuration() fleet.Configuration
}

// Observer takes the results of attempts.
type Observer interface {
	// Watch tells that an attempt goes to a backend server; done ends it, after Observe.
	Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) (done func())
	// Nats returns this node's evidence against a backend server that it distrusts, or 0.
	Nats(fleet.BackendID) float64
	Observe(fleet.Sample)
}

// Recorder takes events.
type Recorder interface {
	Record(fleet.Event)
}

// Suspects tells the other nodes about requests that may crash backend servers.
type Suspects interface {
	// Report tells that a backend server died with these identities in its slots.
	Report(ctx context.Context, backend fleet.BackendID, identities []string)
	// Clear tells that a suspect ran to its end.
	Clear(ctx context.Context, identity string)
}

// Members knows the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// Lender pays for retries of other nodes from this node's retry budget.
type Lender interface {
	// Lend reports whether the budget of a service allows it.
	Lend(service fleet.ServiceName, owed float64) bool
}

// none stands in for parts that were not given.
type none struct{}

func (none) Nats(fleet.BackendID) float64                                       { return 0 }
func (none) Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) func() { return func() {} }
func (none) Observe(fleet.Sample)                                               {}
func (none) Lend(fleet.ServiceName, float64) bool                               { return false }
func (none) Record(fleet.Event)                                                 {}
func (none) Report(context.Context, fleet.BackendID, []string)                  {}
func (none) Clear(context.Context, string)                                      {}
func (none) Members() []fleet.Member                                            { return nil }
func (none) Configuration() fleet.Configuration                                 { return fleet.Configuration{} }
