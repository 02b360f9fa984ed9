package fleet

import "time"

// EventKind is the kind of an event.
type EventKind string

const (
	// EventRefusal is a request that was refused.
	EventRefusal EventKind = "refusal"
	// EventRetry is an attempt that was followed by another.
	EventRetry EventKind = "retry"
	// EventDegradation is a backend server that this node began to treat as degraded.
	EventDegradation EventKind = "degradation"
	// EventRecovery is a degraded backend server that this node treats as healthy again.
	EventRecovery EventKind = "recovery"
	// EventEjection is an ejection that was accepted into the replicated state.
	EventEjection EventKind = "ejection"
	// EventEjectionRefused is an ejection that was refused when its record was applied.
	EventEjectionRefused EventKind = "ejection-refused"
	// EventReturn is an ejected backend server that was returned to rotation.
	EventReturn EventKind = "return"
	// EventReadmission is an ejected backend server that is used again to keep the
	// service at its floor.
	EventReadmission EventKind = "readmission"
	// EventPoison is a request identity whose requests are refused from now on.
	EventPoison EventKind = "poison"
	// EventTrial is a decision about the trial request of a suspect, or the release of its permission.
	EventTrial EventKind = "trial"
	// EventCrash is a backend server that crashed.
	EventCrash EventKind = "crash"
	// EventConfigurationAccepted is a configuration that came into force.
	EventConfigurationAccepted EventKind = "accepted"
	// EventConfigurationRefused is a configuration change that was refused because it was invalid
	// or because another change was accepted first.
	EventConfigurationRefused EventKind = "conflict"
	// EventMemberState is a change of a node's liveness state.
	EventMemberState EventKind = "member"
	// EventBackendState is a change of a backend server's life-cycle state.
	EventBackendState EventKind = "backend"
	// EventLogService is a change of the log service's reachability.
	EventLogService EventKind = "log"
	// EventSkipped is a record, checkpoint or configuration that was skipped because it
	// could not be read or was out of date.
	EventSkipped EventKind = "skipped"
	// EventSealed is a request that was sealed.
	EventSealed EventKind = "sealed"
	// EventRequest is a request that its backend server answered.
	EventRequest EventKind = "request"
	// EventAttempt is an attempt that its owner could not answer normally.
	EventAttempt EventKind = "attempt"
	// EventAbandoned is an attempt that may have run and that its ingress waits for no more.
	EventAbandoned EventKind = "abandoned"
	// EventSearch is a search for a slot for the attempt that follows one which a planned stop ends.
	EventSearch EventKind = "search"
	// EventHedge is an attempt that is made beside another one, as their ingress is about to end, and whether it was
	// answered first.
	EventHedge EventKind = "hedge"
	// EventFailing is a backend server that its owner begins or ceases to suspect of failing.
	EventFailing EventKind = "doubt"
	// EventLimit is a backend server that names a limit for its requests, changes it, or names
	// none any more.
	EventLimit EventKind = "limit"
	// EventReachability is a node that became unreachable or reachable for this node.
	EventReachability EventKind = "path"
	// EventStalled is a connection that made no progress and was dropped.
	EventStalled EventKind = "silent"
	// EventQuota is a home node that no longer grants an organisation's whole rate, or that starts afresh.
	EventQuota EventKind = "quota"
)

// Event is a decision or observation of a node.
type Event struct {
	Time    time.Time
	Node    NodeID
	Kind    EventKind
	Service ServiceName
	// Subject is the backend server, request, node or operation concerned.
	Subject string
	Reason  string
	Figures []Figure
	// Detail lists what was tried, in order, or otherwise explains the event.
	Detail string
	// Sequence is the position in the node's journal, from 1.
	Sequence uint64
}

// NewEvent returns an event without time, node and sequence, which the journal sets.
func NewEvent(kind EventKind, subject, reason string, figures ...Figure) Event {
	return Event{Kind: kind, Subject: subject, Reason: reason, Figures: figures}
}

// WithDetail returns a copy with another detail.
func (e Event) WithDetail(detail string) Event {
	e.Detail = detail
	return e
}

// WithService returns a copy with another service.
func (e Event) WithService(service ServiceName) Event {
	e.Service = service
	return e
}
