package forwarder

import (
	"fmt"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// result is what became of one attempt.
type result struct {
	outcome fleet.Outcome
	message string
	// blameless is set when a lost connection was at fault, not the owner or backend server.
	blameless bool
	// lostOwner is set when the owner could not be asked any more about the attempt.
	lostOwner bool
	// reached is set when the backend server itself refused the request.
	reached bool
	// glanced is set when the owner only had no free slot for an attempt that would not wait.
	glanced bool
	// took is how long the attempt lasted.
	took time.Duration
	// exchange and content hold the answer when there is one.
	exchange *pooler.Exchange
	content  *collector.Content
	whole    bool
	// serviceTime is the time at the backend server, by its owner.
	serviceTime time.Duration
}

func refused(reason fleet.Reason, message string) *result {
	return &result{outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: reason}, message: message}
}

func unknown(reason fleet.Reason, message string) *result {
	return &result{outcome: fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: reason}, message: message}
}

// answered reports whether there is an answer of a backend server.
func (r *result) answered() bool { return r.outcome.Executed == fleet.ExecutedYes }

// looked reports whether an owner only turned the attempt away, for want of a free slot,
// in doubt of its backend server, or because it does not pay for a retry. Going on to
// another owner is no retry, and there is no failure to tell the caller.
func (r *result) looked() bool {
	return r.glanced || r.outcome.Reason == fleet.ReasonDoubt || r.outcome.Reason == fleet.ReasonBudget
}

// close gives the answer's connection and memory back.
func (r *result) close() {
	if r.exchange != nil {
		r.exchange.Close()
	}
	if r.content != nil {
		r.content.Release()
	}
}

// describe tells an attempt in one word after another, for logs.
func (r *result) describe(backend fleet.Backend, way approach) string {
	ending := string(r.outcome.Reason)
	if r.answered() {
		ending = strconv.Itoa(r.exchange.Response.StatusCode)
	}
	text := fmt.Sprintf("%s %s@%s %s %dms", way, backend.ID, backend.Owner, ending, r.took.Milliseconds())
	if r.serviceTime > 0 {
		text += fmt.Sprintf(" ran %dms", r.serviceTime.Milliseconds())
	}
	return text
}
