package model

import (
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// attemptTimeout is the time limit of one attempt.
	attemptTimeout = time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// pathTime is the round-trip time between ingress and owner.
	pathTime = time.Millisecond
	// fastError is the service time of an error in the scenario fast-errors.
	fastError = time.Millisecond
)

// request is one request of a caller.
type request struct {
	ingress    *ingress
	kind       int
	idempotent bool
	// costFactor is the factor on the service time; 1 except for a costly caller.
	costFactor float64
	attempts   int
	// tried are the backend servers that earlier attempts went to.
	tried []fleet.BackendID
}

// attempt is one attempt of a request on a backend server.
type attempt struct {
	request *request
	backend *backend
	// token identifies the attempt to the policy.
	token  evaluator.Attempt
	sentAt time.Duration
	// service is the service time.
	service time.Duration
	class   fleet.Class
	// started is true while the attempt occupies a slot.
	started bool
	done    bool
}
