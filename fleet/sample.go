package fleet

import "time"

// Class classifies the result of an attempt by what it indicates about the backend
// server's health.
type Class uint8

const (
	// ClassOK is a complete, valid answer.
	ClassOK Class = iota + 1
	// ClassError is an answer that reports a fault of the backend server, such as 5xx.
	ClassError
	// ClassBroken is an answer that was truncated, malformed or for another request.
	ClassBroken
	// ClassTimeout is an attempt that got no answer in time.
	ClassTimeout
	// ClassUnreachable is an attempt that could not be sent to the backend server.
	ClassUnreachable
	// ClassRefused is an attempt that the backend server or its owner refused; it is no
	// evidence about health.
	ClassRefused
	// ClassCancelled is an attempt that its caller cancelled; the time until then is a
	// lower bound of its service time.
	ClassCancelled
)

// Sample is the result of one attempt.
type Sample struct {
	At      time.Time
	Service ServiceName
	Backend BackendID
	Kind    RequestKind
	Class   Class
	// ServiceTime is the time at the backend server without queueing, as measured by its owner.
	ServiceTime time.Duration
	// PathTime is the total time of the attempt as measured by the ingress; 0 at the owner.
	PathTime time.Duration
}
