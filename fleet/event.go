package fleet

import "time"

// EventKind names what happened.
type EventKind string

const (
	// EventRefusal is a request that was refused.
	EventRefusal EventKind = "refusal"
	// EventRetry is an attempt that was followed by another.
	EventRetry EventKind = "retry"
	// EventDegradation is a backend server that this node began to avoid.
	EventDegradation EventKind = "degradation"
	// EventRecovery is a backend server that this node trusts again.
	EventRecovery EventKind = "recovery"
	// EventEjection is an ejection that the fold accepted.
	EventEjection EventKind = "ejection"
	// EventEjectionRefused is an ejection that the fold refused.
	EventEjectionRefused EventKind = "ejection-refused"
	// EventReturn is an ejection that was taken back.
	EventReturn EventKind = "return"
	// EventReadmission is an ejected backend server in use to keep the floor.
	EventReadmission EventKind = "readmission"
	// EventPoison is a request identity that is refused from now on.
	EventPoison EventKind = "poison"
	// EventCrash is a backend server that died.
	EventCrash EventKind = "crash"
	// EventAccepted is a configuration that came into force.
	EventAccepted EventKind = "accepted"
	// EventConflict is a configuration change that lost a race or was invalid.
	EventConflict EventKind = "conflict"
	// EventMember is a change of a node's liveness.
	EventMember EventKind = "member"
	// EventBackend is a change of a backend server's life cycle.
	EventBackend EventKind = "backend"
	// EventLog is a change of the log service's reachability.
	EventLog EventKind = "log"
	// EventSkipped is a record of the stream that could not be read.
	EventSkipped EventKind = "skipped"
	// EventSealed is a request that was sealed.
	EventSealed EventKind = "sealed"
	// EventRequest is a request that its backend server answered.
	EventRequest EventKind = "request"
	// EventAttempt is an attempt that its owner could not answer as usual.
	EventAttempt EventKind = "attempt"
	// EventDoubt is a backend server that its owner begins or ends to doubt.
	EventDoubt EventKind = "doubt"
	// EventPath is a node that this node cannot reach, or reaches again.
	EventPath EventKind = "path"
	// EventSilent is a connection that made no progress and was dropped.
	EventSilent EventKind = "silent"
)

// Event is one thing that a node decided or noticed.
type Event struct {
	Time    time.Time
	Node    NodeID
	Kind    EventKind
	Service ServiceName
	// Subject is the backend server, request, node or operation concerned.
	Subject string
	Reason  string
	Figures []Figure
	// Detail is what was tried, in order, or what else explains the event.
	Detail string
	// Sequence is the place in the node's journal, from 1.
	Sequence uint64
}

// NewEvent returns an event without time, node and sequence, which the journal fills in.
func NewEvent(kind EventKind, subject, reason string, figures ...Figure) Event {
	return Event{Kind: kind, Subject: subject, Reason: reason, Figures: figures}
}

// WithDetail returns a copy with a detail.
func (e Event) WithDetail(detail string) Event {
	e.Detail = detail
	return e
}

// WithService returns a copy that names a service.
func (e Event) WithService(service ServiceName) Event {
	e.Service = service
	return e
}
