package quarantiner

import "time"

// Verdict is the decision about a trial request.
type Verdict string

const (
	// Permitted allows the trial request.
	Permitted Verdict = "permitted"
	// Unneeded means that the identity is clean.
	Unneeded Verdict = "unneeded"
	// Running means that another trial request of the identity may be running.
	Running Verdict = "running"
	// Paused means that the next trial request may be permitted only later.
	Paused Verdict = "paused"
	// Exhausted means that no trial request is permitted until the record expires.
	Exhausted Verdict = "exhausted"
)

// Permission is the decision about a trial request.
type Permission struct {
	Verdict Verdict
	// Wait is the time until the next trial request may be permitted; 0 if it is not known.
	Wait time.Duration
}
