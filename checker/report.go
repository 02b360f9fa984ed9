package checker

import (
	"fmt"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Fault names a broken promise.
type Fault string

const (
	// FaultWrong is an answer that is not the request's own, or a request that
	// ran although its caller was told that it did not.
	FaultWrong Fault = "wrong"
	// FaultLost is a request whose caller was told nothing, or was told that it
	// ran although it did not.
	FaultLost Fault = "lost"
	// FaultTwice is a non-idempotent request or key that ran more than once.
	FaultTwice Fault = "twice"
)

// Finding is one broken promise.
type Finding struct {
	Fault   Fault
	Request fleet.RequestID
	Detail  string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s request=%s %s", f.Fault, f.Request, f.Detail)
}

// Report counts outcomes and broken promises.
type Report struct {
	Sent     int
	Answered int
	Refused  int
	Unknown  int
	// Severed counts the part of Unknown whose node was killed or frozen while it held the request.
	Severed int
	Wrong   int
	Lost    int
	Twice   int
	// AddedP50 and AddedP99 are percentiles of the time that answered requests
	// spent outside the slots, less those of direct requests.
	AddedP50 time.Duration
	AddedP99 time.Duration
	Findings []Finding
}

// Kept reports whether every promise was kept.
func (r Report) Kept() bool {
	return r.Wrong == 0 && r.Lost == 0 && r.Twice == 0
}

// String returns the counts on one line.
func (r Report) String() string {
	return fmt.Sprintf(
		"sent=%d answered=%d refused=%d unknown=%d wrong=%d lost=%d twice=%d added_p50_ms=%.2f added_p99_ms=%.2f",
		r.Sent, r.Answered, r.Refused, r.Unknown, r.Wrong, r.Lost, r.Twice,
		milliseconds(r.AddedP50), milliseconds(r.AddedP99))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
