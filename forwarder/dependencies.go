package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	Configuration() fleet.Configuration
	// Ready reports whether any revision has been received.
	Ready() bool
}

// Directory looks up the backend servers and nodes of the fleet.
type Directory interface {
	Backends(fleet.ServiceName) []fleet.Backend
	Member(fleet.NodeID) (fleet.Member, bool)
	Members() []fleet.Member
}

// Picker chooses backend servers.
type Picker interface {
	Pick(service fleet.ServiceName, candidates []fleet.Backend, tried []fleet.BackendID, idempotent bool) (fleet.Backend, bool)
	Begin(fleet.BackendID)
	End(fleet.BackendID)
	// Fail ends an attempt that failed, in place of End.
	Fail(fleet.BackendID)
	Report(fleet.Load)
	// Limit returns the limit that was reported last for a backend server, as in HeaderLimit.
	Limit(fleet.BackendID) string
}

// Observer receives the results of attempts.
type Observer interface {
	// AttemptStarted reports the start of an attempt at a backend server; done reports its end, after
	// Observe.
	AttemptStarted(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) (done func())
	// ApplyOwnerEvidence reports an owner's evidence against its backend server, a log-likelihood ratio
	// in nats.
	ApplyOwnerEvidence(fleet.ServiceName, fleet.BackendID, float64)
	Observe(fleet.Sample)
}

// Departures records which backend servers leave. Directory no longer lists them.
type Departures interface {
	// ReportLeaving reports that a backend server said in an answer that it leaves.
	ReportLeaving(fleet.BackendID)
}

// Checker checks for the whole fleet whether a node is reachable.
type Checker interface {
	RequestProbe(fleet.NodeID)
}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

// noop replaces parts that were not set; its methods do nothing.
type noop struct{}

func (noop) Observe(fleet.Sample)                                           {}
func (noop) ApplyOwnerEvidence(fleet.ServiceName, fleet.BackendID, float64) {}
func (noop) AttemptStarted(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) func() {
	return func() {}
}
func (noop) RequestProbe(fleet.NodeID)     {}
func (noop) ReportLeaving(fleet.BackendID) {}
func (noop) Record(fleet.Event)            {}
