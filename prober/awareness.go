package prober

import "time"

// maxAwareness bounds how much slower a node in trouble probes and accuses.
const maxAwareness = 8

// awareness is a node's own health as it sees it, after Lifeguard: 0 is healthy.
type awareness int

func (a awareness) worse() awareness {
	return min(a+1, maxAwareness)
}

func (a awareness) better() awareness {
	return max(a-1, 0)
}

// scale lengthens a time by the own trouble.
func (a awareness) scale(d time.Duration) time.Duration {
	return d * time.Duration(a+1)
}
