package prober

import "time"

// maxAwareness bounds how much an impaired node extends its probe and suspicion times.
const maxAwareness = 8

// awareness is the local health multiplier of Lifeguard: 0 is healthy, higher is worse.
type awareness int

func (a awareness) increased() awareness {
	return min(a+1, maxAwareness)
}

func (a awareness) decreased() awareness {
	return max(a-1, 0)
}

// scale extends a duration in proportion to the node's own impairment.
func (a awareness) scale(d time.Duration) time.Duration {
	return d * time.Duration(a+1)
}
