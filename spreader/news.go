package spreader

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// news is a message that a node could not be told yet.
type news struct {
	member  fleet.Member
	message *cowsliptallyv1.SuspectRequest
	since   time.Time
}
