package sealer

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// entry holds the attempts of one submission that were dispatched or sealed, as bit sets;
// bit n stands for attempt n.
type entry struct {
	request    fleet.RequestID
	dispatched uint64
	sealed     uint64
	// updated is the time of the last change, relative to the sealer's start.
	updated time.Duration
}
