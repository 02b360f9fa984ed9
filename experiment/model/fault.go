package model

import "time"

// fault is what is wrong with a backend server, its node or the way to it.
type fault struct {
	on bool
	// slow is the factor on service times, for one kind or for all with -1.
	slow float64
	kind int
	// errors, wrong and fast are about failed answers.
	errors float64
	wrong  float64
	fast   bool
	stuck  bool
	// path is added to the time between ingress and owner, for the ingress node
	// with this number or for all with -1.
	path    time.Duration
	lossy   bool
	ingress int
	// period is the length of a cycle of good and bad; 0 is always bad.
	period time.Duration
	since  time.Duration
}

// active reports whether the fault shows at a time.
func (f *fault) active(now time.Duration) bool {
	if !f.on || f.period == 0 {
		return f.on
	}
	return (now-f.since)%f.period < f.period/2
}

// onPath reports whether the fault shows on the way from an ingress node.
func (f *fault) onPath(ingress int, now time.Duration) bool {
	return (f.path > 0 || f.lossy) && f.active(now) && (f.ingress < 0 || f.ingress == ingress)
}
