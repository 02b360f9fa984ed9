package caller

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Result is what a caller learned of one request.
type Result string

const (
	// ResultAnswered is a whole answer of a backend server.
	ResultAnswered Result = "answered"
	// ResultRefused is an error that says that the request was not executed.
	ResultRefused Result = "refused"
	// ResultUnknown is an error that says that nobody knows.
	ResultUnknown Result = "unknown"
	// ResultBroken is a connection that ended without a whole answer.
	ResultBroken Result = "broken"
	// ResultSilent is a request that heard nothing until its deadline and slack had passed.
	ResultSilent Result = "silent"
	// ResultUnsent is a request for which no node accepted a connection.
	ResultUnsent Result = "unsent"
)

// Record is one request with what its caller was told.
type Record struct {
	Request    fleet.RequestID   `json:"request"`
	Key        string            `json:"key,omitempty"`
	Kind       fleet.RequestKind `json:"kind"`
	Idempotent bool              `json:"idempotent"`
	// Node is the caller address of the node that took the request.
	Node   string        `json:"node"`
	Sent   time.Time     `json:"sent"`
	Took   time.Duration `json:"took"`
	Result Result        `json:"result"`
	Status int           `json:"status"`
	Reason string        `json:"reason,omitempty"`
	// Own is true when the answer carried the request's identifier and checksum.
	Own     bool   `json:"own"`
	Backend string `json:"backend,omitempty"`
	// Served is the time in the backend server's slot, by its answer.
	Served time.Duration `json:"served"`
}
