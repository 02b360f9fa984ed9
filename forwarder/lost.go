package forwarder

import "cowsliptally.example/cowsliptally/fleet"

// lostOwner is an owner that could not be queried any more about an attempt.
type lostOwner struct {
	id fleet.NodeID
	// silent is set if nothing is known of its process: its VM may be lost, or only the path to it.
	silent bool
}

// lostCount returns the number of lost owners.
func (s *submission) lostCount(Directory) int { return len(s.lost) }
