package checker

import (
	"fmt"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Violation is the kind of a violated guarantee.
type Violation string

const (
	// ViolationWrong is an answer that does not match its request, or a request
	// that ran but was reported as not executed.
	ViolationWrong Violation = "wrong"
	// ViolationLost is a request without a reported outcome, or one that was
	// reported as run but did not run or did not finish.
	ViolationLost Violation = "lost"
	// ViolationTwice is a non-idempotent request or key that ran more than once.
	ViolationTwice Violation = "twice"
)

// Finding is one violation of a guarantee.
type Finding struct {
	Violation Violation
	Request   fleet.RequestID
	Detail    string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s request=%s %s", f.Violation, f.Request, f.Detail)
}

// Report counts outcomes and violations.
type Report struct {
	Sent     int
	Answered int
	Refused  int
	Unknown  int
	// Excused is the part of Unknown that was in flight at a node that was killed or frozen.
	Excused int
	Wrong   int
	Lost    int
	Twice   int
	// AddedP50 and AddedP99 are percentiles of the time that answered requests
	// spent outside the slots, minus those of direct requests.
	AddedP50 time.Duration
	AddedP99 time.Duration
	Findings []Finding
}

// Passed reports whether no guarantee was violated.
func (r Report) Passed() bool {
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
