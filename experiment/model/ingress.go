package model

import (
	"time"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/fleet"
)

// ingress is a node that receives callers' requests. The node that stands for all
// owners has the same type.
type ingress struct {
	number   int
	member   fleet.Member
	policy   policy
	balancer *balancer.Balancer
	// ejector is nil for baseline policies.
	ejector *ejector.Ejector
	// paused is the end of a pause of the whole node.
	pausedUntil time.Duration
}
