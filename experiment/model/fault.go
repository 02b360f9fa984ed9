package model

import "time"

// fault describes a fault of a backend server, its node or the path to it.
type fault struct {
	on bool
	// slow is the factor on the service times of one request kind, or of all if kind
	// is -1.
	slow float64
	kind int
	// errors and wrong are the shares of requests that fail and that get a broken
	// answer; with fast, errors come after fastError.
	errors float64
	wrong  float64
	fast   bool
	// stuck means that requests are accepted and never answered.
	stuck bool
	// pathDelay is added to the time between ingress and owner, for the ingress node
	// with the number in ingress, or for all if it is -1. The same holds for lossy, a
	// path that loses packets.
	pathDelay time.Duration
	lossy     bool
	ingress   int
	// period is the length of a cycle in which the fault is active in the first half;
	// with 0 it is always active.
	period time.Duration
	since  time.Duration
}

// active reports whether the fault has an effect at a time.
func (f *fault) active(now time.Duration) bool {
	if !f.on || f.period == 0 {
		return f.on
	}
	return (now-f.since)%f.period < f.period/2
}

// onPath reports whether the fault affects the path from an ingress node.
func (f *fault) onPath(ingress int, now time.Duration) bool {
	return (f.pathDelay > 0 || f.lossy) && f.active(now) && (f.ingress < 0 || f.ingress == ingress)
}
