package caller

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Result is the outcome of one request as seen by its caller.
type Result string

const (
	// ResultAnswered is a complete answer from a backend server.
	ResultAnswered Result = "answered"
	// ResultRefused is an error response for a request that was not executed.
	ResultRefused Result = "refused"
	// ResultUnknown is an error response for a request that may have been executed.
	ResultUnknown Result = "unknown"
	// ResultBroken is a connection that ended without a complete answer, or a
	// response without an outcome.
	ResultBroken Result = "broken"
	// ResultSilent is a request without a response by its deadline plus slack.
	ResultSilent Result = "silent"
	// ResultUnsent is a request for which no node accepted a connection.
	ResultUnsent Result = "unsent"
)

// Record is one request with the outcome reported to its caller.
type Record struct {
	Request    fleet.RequestID   `json:"request"`
	Key        string            `json:"key,omitempty"`
	Kind       fleet.RequestKind `json:"kind"`
	Idempotent bool              `json:"idempotent"`
	// Node is the caller address of the node that the request was sent to.
	Node string `json:"node"`
	// Connected is when the connection that carried the request was opened; zero if none was.
	Connected time.Time `json:"connected,omitzero"`
	// Written is when a request without an outcome was written to its connection; zero if it was not.
	Written time.Time `json:"written,omitzero"`
	// Read is when bytes of an answer that is no outcome were last read from that connection; zero if there were none.
	Read time.Time `json:"read,omitzero"`
	// Reused reports whether the connection had carried an earlier request.
	Reused bool `json:"reused,omitempty"`
	// Arrived is when the last bytes of an outcome arrived that the caller read after its limit.
	Arrived time.Time `json:"arrived,omitzero"`
	// Due is when the caller meant to send the request; zero if that was at once.
	Due  time.Time `json:"due,omitzero"`
	Sent time.Time `json:"sent"`
	// Limit is the time after which the caller gives up.
	Limit  time.Duration `json:"limit,omitempty"`
	Took   time.Duration `json:"took"`
	Result Result        `json:"result"`
	Status int           `json:"status"`
	Reason string        `json:"reason,omitempty"`
	// Own reports whether the answer carried the request's identifier and, on
	// success, its checksum.
	Own     bool   `json:"own"`
	Backend string `json:"backend,omitempty"`
	// Served is the time in the backend server's slot, as given in its answer.
	Served time.Duration `json:"served"`
}

// noteTimes records when a request without an outcome was written and its answer read.
func (r *Record) noteTimes(l *limit) {
	if r.Result != ResultBroken && r.Result != ResultSilent {
		return
	}
	if at := l.written.Load(); at != nil {
		r.Written = *at
	}
	if at := l.read.Load(); at != nil {
		r.Read = *at
	}
}
