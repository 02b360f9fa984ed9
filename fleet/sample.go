package fleet

import "time"

// Class sorts the results of attempts by what they say about a backend server.
type Class uint8

const (
	// ClassOK is a whole, valid answer.
	ClassOK Class = iota + 1
	// ClassError is an answer that reports a fault of the backend server, such as 5xx.
	ClassError
	// ClassBroken is an answer that was cut, malformed or another request's.
	ClassBroken
	// ClassTimeout is an attempt that got no answer in time.
	ClassTimeout
	// ClassUnreachable is an attempt that could not be sent to the backend server.
	ClassUnreachable
	// ClassRefused is work shed by the backend server or owner; it says nothing of health.
	ClassRefused
	// ClassCancelled is an attempt that its caller gave up; its time so far is a lower bound.
	ClassCancelled
)

// Sample is the result of one attempt.
type Sample struct {
	At      time.Time
	Service ServiceName
	Backend BackendID
	Kind    RequestKind
	Class   Class
	// ServiceTime is the time at the backend server without queueing, by its owner.
	ServiceTime time.Duration
	// PathTime is the whole time of the attempt as the ingress saw it; 0 at the owner.
	PathTime time.Duration
}
