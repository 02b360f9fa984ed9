package model

import "time"

// traceStep is the width of one point of a trace.
const traceStep = 500 * time.Millisecond

// Trace is the traffic over time to the backend servers with a fault.
type Trace struct {
	Step time.Duration
	// Faulty and All count the requests in each step that went to backend servers
	// with a fault and to all.
	Faulty []int
	All    []int
	// Marks are the beginnings and ends of faults, alternating.
	Marks []time.Duration
}

// trace records a Trace.
type trace struct {
	Trace
}

func newTrace() trace {
	return trace{Trace{Step: traceStep}}
}

func (t *trace) recordPick(now time.Duration, faulty bool) {
	if now >= traceLength {
		return
	}
	index := int(now / t.Step)
	for len(t.All) <= index {
		t.All = append(t.All, 0)
		t.Faulty = append(t.Faulty, 0)
	}
	t.All[index]++
	if faulty {
		t.Faulty[index]++
	}
}

func (t *trace) recordMark(now time.Duration) {
	if now < traceLength {
		t.Marks = append(t.Marks, now)
	}
}
