package sealer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// entry is what is known of one submission; bit n stands for attempt n.
type entry struct {
	request    fleet.RequestID
	dispatched uint64
	sealed     uint64
	// updated is the time of the last change, since the sealer's start.
	updated time.Duration
}
