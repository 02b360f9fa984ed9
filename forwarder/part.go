package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// Configurations knows the configuration in force.
type Configurations interface {
	Configuration() fleet.Configuration
	// Ready reports whether a revision is known at all.
	Ready() bool
}

// Directory knows the backend servers and nodes of the fleet.
type Directory interface {
	Backends(fleet.ServiceName) []fleet.Backend
	Member(fleet.NodeID) (fleet.Member, bool)
}

// Picker chooses backend servers.
type Picker interface {
	Pick(service fleet.ServiceName, candidates []fleet.Backend, tried []fleet.BackendID, idempotent bool) (fleet.Backend, bool)
	Begin(fleet.BackendID)
	End(fleet.BackendID)
	// Fail ends an attempt that failed, in place of End.
	Fail(fleet.BackendID)
	Report(fleet.Load)
}

// Observer takes the results of attempts.
type Observer interface {
	// Watch tells that an attempt goes to a backend server; done ends it, after Observe.
	Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) (done func())
	// Advise passes on an owner's evidence against its backend server, in nats.
	Advise(fleet.ServiceName, fleet.BackendID, float64)
	Observe(fleet.Sample)
}

// Checker finds out for the whole fleet whether a node can be reached.
type Checker interface {
	Check(fleet.NodeID)
}

// Recorder takes events.
type Recorder interface {
	Record(fleet.Event)
}

// none stands in for parts that were not given.
type none struct{}

func (none) Observe(fleet.Sample)                                               {}
func (none) Advise(fleet.ServiceName, fleet.BackendID, float64)                 {}
func (none) Watch(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) func() { return func() {} }
func (none) Check(fleet.NodeID)                                                 {}
func (none) Record(fleet.Event)                                                 {}
