package model

import (
	"time"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/fleet"
)

// ingress is a node that callers' requests come to.
type ingress struct {
	number   int
	member   fleet.Member
	policy   policy
	balancer *balancer.Balancer
	// ejector is nil for policies that are not ours.
	ejector *ejector.Ejector
	// paused is the end of a pause of the whole node.
	paused time.Duration
}
