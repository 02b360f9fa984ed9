package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/judge"
)

const (
	// attemptTimeout is the time limit of one attempt.
	attemptTimeout = time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// pathTime is the time between ingress and owner, both ways.
	pathTime = time.Millisecond
	// fastError is the time of an error that comes at once.
	fastError = time.Millisecond
)

// request is one request of a caller.
type request struct {
	ingress    *ingress
	kind       int
	idempotent bool
	// heavy is the factor of a caller with costly requests.
	heavy    float64
	attempts int
	tried    []fleet.BackendID
}

// attempt is one try of a request on a backend server.
type attempt struct {
	request *request
	backend *backend
	token   judge.Attempt
	begun   time.Duration
	service time.Duration
	class   fleet.Class
	started bool
	over    bool
}
