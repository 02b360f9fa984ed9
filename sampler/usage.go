package sampler

import (
	"fmt"
	"time"
)

// Usage is the processor time that the threads of a process got between two samples.
type Usage struct {
	// Span is the time between the two samples; zero if there are none.
	Span time.Duration
	// Gap is the longest time between two successive samples.
	Gap time.Duration
	// Ran and Waited are sums over all threads: the time on a processor, and the time ready to run without one.
	Ran    time.Duration
	Waited time.Duration
	// Longest is the most that one thread waited between two successive samples. The kernel counts a wait once it ends.
	Longest time.Duration
}

// String returns the figures on one line.
func (u Usage) String() string {
	if u.Span == 0 {
		return "not sampled"
	}
	return fmt.Sprintf("in %s ran %s, waited %s for a processor, one thread up to %s between samples up to %s apart",
		round(u.Span), round(u.Ran), round(u.Waited), round(u.Longest), round(u.Gap))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
