package ejector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// testimonyTime is how long a node's evidence stands without being repeated.
const testimonyTime = 5 * time.Second

// testimony is one node's evidence against one backend server.
type testimony struct {
	node    fleet.NodeID
	zone    fleet.Zone
	nats    float64
	reason  string
	figures []*cowsliptallyv1.Figure
	at      time.Time
}

// fresh reports whether the testimony still stands.
func (t testimony) fresh(now time.Time) bool {
	return now.Sub(t.at) < testimonyTime
}
