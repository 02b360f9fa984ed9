package dispatcher

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/quarantiner"
)

// LocalBackends provides the backend servers of this VM.
type LocalBackends interface {
	Backend(fleet.BackendID) (fleet.Backend, bool)
	// ReportCrash reports that connections to a backend server are refused.
	ReportCrash(fleet.BackendID)
	// ReportLeaving reports that a backend server said in an answer that it leaves.
	ReportLeaving(fleet.BackendID)
}

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	Configuration() fleet.Configuration
}

// Observer receives the results of attempts.
type Observer interface {
	// AttemptStarted records the start of an attempt at a backend server; done is called at its
	// end, after Observe.
	AttemptStarted(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) (done func())
	// LLR returns this node's own evidence against a backend server as a log-likelihood
	// ratio in nats, or 0 when there is none.
	LLR(fleet.BackendID) float64
	Observe(fleet.Sample)
}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

// SuspectReporter reports requests that may crash backend servers to the other nodes.
type SuspectReporter interface {
	// ReportSuspects reports that a backend server crashed with these requests in its slots.
	ReportSuspects(ctx context.Context, backend fleet.BackendID, records []quarantiner.Record)
	// ClearSuspect reports that a suspect ran to its end.
	ClearSuspect(ctx context.Context, record quarantiner.Record)
}

// Members provides the nodes of the fleet.
type Members interface {
	Members() []fleet.Member
}

// RetryBudget charges retries of other nodes to this node's retry budget.
type RetryBudget interface {
	// ChargeRetry charges a retry's cost to the budget of a service, and reports whether the
	// budget allows it.
	ChargeRetry(service fleet.ServiceName, retryCost float64) bool
	// RecordRequest counts a request of another node, received this long ago, for the budget of
	// a service.
	RecordRequest(service fleet.ServiceName, age time.Duration)
}

// noop is the default of interfaces that no option sets.
type noop struct{}

func (noop) LLR(fleet.BackendID) float64 { return 0 }
func (noop) AttemptStarted(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) func() {
	return func() {}
}
func (noop) Observe(fleet.Sample)                                                  {}
func (noop) ChargeRetry(fleet.ServiceName, float64) bool                           { return false }
func (noop) RecordRequest(fleet.ServiceName, time.Duration)                        {}
func (noop) Record(fleet.Event)                                                    {}
func (noop) ReportSuspects(context.Context, fleet.BackendID, []quarantiner.Record) {}
func (noop) ClearSuspect(context.Context, quarantiner.Record)                      {}
func (noop) Members() []fleet.Member                                               { return nil }
func (noop) Configuration() fleet.Configuration                                    { return fleet.Configuration{} }
