package admitter

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// occupant is a request in a slot.
type occupant struct {
	kind  fleet.RequestKind
	since time.Time
}
