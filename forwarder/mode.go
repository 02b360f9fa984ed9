package forwarder

import (
	"net/http"

	"cowsliptally.example/cowsliptally/fleet"
)

// attemptMode determines whether the owner queues or refuses an attempt.
type attemptMode uint8

const (
	// noWait is refused when no slot is free or the backend server is suspected failing.
	noWait attemptMode = iota + 1
	// queued waits for a slot, and is refused when the backend server is suspected failing.
	queued
	// forced waits for a slot in any case.
	forced
)

// String returns the name in logs.
func (a attemptMode) String() string {
	switch a {
	case noWait:
		return "glance"
	case queued:
		return "queue"
	default:
		return "insist"
	}
}

// setHeader sets the header by which the owner recognises the mode.
func (a attemptMode) setHeader(head http.Header) {
	switch a {
	case noWait:
		head.Set(fleet.HeaderNoWait, "none")
	case forced:
		head.Set(fleet.HeaderForced, "true")
	}
}
