package ejector

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// reportLifetime is how long a node's evidence is valid without being repeated.
const reportLifetime = 5 * time.Second

// evidenceReport is one node's evidence against one backend server.
type evidenceReport struct {
	node    fleet.NodeID
	zone    fleet.Zone
	llr     float64
	reason  string
	figures []*cowsliptallyv1.Figure
	at      time.Time
}

// fresh reports whether the evidence report is still valid.
func (r evidenceReport) fresh(now time.Time) bool {
	return now.Sub(r.at) < reportLifetime
}
