package dispatcher

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// Locals provides the backend servers of this VM.
type Locals interface {
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// Crashed reports that connections to a backend server are refused.
	Crashed(fleet.BackendID)
}

// Configurations provides the configuration in force.
type Configurations interface {
	Configuration() fleet.Configuration
}

// Observer receives the results of attempts.
type Observer interface {
	// Watch records the start of an attempt at a backend server; done is called at its
	// end, after Observe.
	Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) (done func())
	// Nats returns this node's own evidence against a backend server as a log-likelihood
	// ratio in nats, or 0 when there is none.
	Nats(fleet.BackendID) float64
	Observe(fleet.Sample)
}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

// Suspects reports requests that may crash backend servers to the other nodes.
type Suspects interface {
	// Report reports that a backend server crashed with these identities in its slots.
	Report(ctx context.Context, backend fleet.BackendID, identities []string)
	// Clear reports that a suspect ran to its end.
	Clear(ctx context.Context, identity string)
}

// Members provides the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// Lender charges retries of other nodes to this node's retry budget.
type Lender interface {
	// Lend charges a retry's cost to the budget of a service, and reports whether the
	// budget allows it.
	Lend(service fleet.ServiceName, retryCost float64) bool
}

// noop is the default of interfaces that no option sets.
type noop struct{}

func (noop) Nats(fleet.BackendID) float64                                       { return 0 }
func (noop) Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) func() { return func() {} }
func (noop) Observe(fleet.Sample)                                               {}
func (noop) Lend(fleet.ServiceName, float64) bool                               { return false }
func (noop) Record(fleet.Event)                                                 {}
func (noop) Report(context.Context, fleet.BackendID, []string)                  {}
func (noop) Clear(context.Context, string)                                      {}
func (noop) Members() []fleet.Member                                            { return nil }
func (noop) Configuration() fleet.Configuration                                 { return fleet.Configuration{} }
