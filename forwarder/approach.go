package forwarder

import (
	"net/http"

	"cowsliptally.example/cowsliptally/fleet"
)

// approach says what an attempt accepts at its owner.
type approach uint8

const (
	// glance is refused when no slot is free or the backend server is doubted.
	glance approach = iota + 1
	// queue waits for a slot, and is refused when the backend server is doubted.
	queue
	// insist waits for a slot in any case.
	insist
)

// String returns the name in logs.
func (a approach) String() string {
	switch a {
	case glance:
		return "glance"
	case queue:
		return "queue"
	default:
		return "insist"
	}
}

// set tells the owner.
func (a approach) set(head http.Header) {
	switch a {
	case glance:
		head.Set(fleet.HeaderPatience, "none")
	case insist:
		head.Set(fleet.HeaderInsist, "true")
	}
}
