package model

import "time"

// traceStep is the width of one point of a trace.
const traceStep = 500 * time.Millisecond

// Trace is the traffic to the backend servers with a fault over time.
type Trace struct {
	Step time.Duration
	// Faulty and All count choices in each step.
	Faulty []int
	All    []int
	// Marks are the begins and ends of faults, by turns.
	Marks []time.Duration
}

// trace records a Trace.
type trace struct {
	Trace
}

func newTrace() trace {
	return trace{Trace{Step: traceStep}}
}

func (t *trace) pick(now time.Duration, faulty bool) {
	if now >= traceTime {
		return
	}
	place := int(now / t.Step)
	for len(t.All) <= place {
		t.All = append(t.All, 0)
		t.Faulty = append(t.Faulty, 0)
	}
	t.All[place]++
	if faulty {
		t.Faulty[place]++
	}
}

func (t *trace) mark(now time.Duration) {
	if now < traceTime {
		t.Marks = append(t.Marks, now)
	}
}
