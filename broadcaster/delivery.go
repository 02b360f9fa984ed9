package broadcaster

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// delivery is a message to one node; since is the time of its first attempt.
type delivery struct {
	member  fleet.Member
	message *cowsliptallyv1.SuspectRequest
	since   time.Time
}
