package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// result is the result of one attempt.
type result struct {
	outcome fleet.Outcome
	message string
	// notAttributed is set when the failure is not attributed to the owner or backend server,
	// because a connection was lost or the owner's retry budget was used up.
	notAttributed bool
	// lost is the owner if it could not be queried any more about the attempt; else nil.
	lost *lostOwner
	// reached is set when the backend server itself refused the request.
	reached bool
	// ownerEnd is when the owner's node ends, if it refused and told that it stops; zero otherwise.
	ownerEnd time.Time
	// ownerEndsFirst is set if that is before the request is answered or aborted at the latest.
	ownerEndsFirst bool
	// noWaitRefused is set when the owner had no free slot for a no-wait attempt.
	noWaitRefused bool
	// brokenInBody is set when the owner's connection ended in the body of an answer.
	brokenInBody bool
	// ownerStopping is how long the owner's node had been stopping; 0 if it has not told that it does.
	ownerStopping time.Duration
	// successor is the next attempt if a slot is reserved for it.
	successor *successor
	// hedges holds the attempts that were made beside this one, in order.
	hedges []*hedge
	// took is how long the attempt lasted.
	took time.Duration
	// retryAfter is the time until there is room, if it is known.
	retryAfter time.Duration
	// exchange and content hold the answer if there is one.
	exchange *pooler.Exchange
	content  *collector.Content
	// rest follows content in an answer that was read on; nil in others.
	rest  *collector.Content
	whole bool
	// serviceTime is the time at the backend server as measured by its owner.
	serviceTime time.Duration
}

func refused(reason fleet.Reason, message string) *result {
	return &result{outcome: fleet.Outcome{Executed: fleet.ExecutedNo, Reason: reason}, message: message}
}

func unknown(reason fleet.Reason, message string) *result {
	return &result{outcome: fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: reason}, message: message}
}

// answered reports whether a backend server answered.
func (r *result) answered() bool { return r.outcome.Executed == fleet.ExecutedYes }

// failed reports whether a backend server answered with an error.
func (r *result) failed() bool {
	return r.answered() && r.exchange.Response.StatusCode >= http.StatusInternalServerError
}

// leaving reports whether an owner declined the attempt because it or its backend server leaves.
func (r *result) leaving() bool {
	return !r.reached && r.outcome.Executed == fleet.ExecutedNo && r.outcome.Reason == fleet.ReasonDraining
}

// declined reports whether an owner declined the attempt because no slot was free, its
// backend server is suspected failing, it leaves, or its retry budget does not cover the retry. The
// attempt at another owner is then no retry, and there is no failure to report.
func (r *result) declined() bool {
	return r.noWaitRefused || r.leaving() || r.outcome.Reason == fleet.ReasonFailing || r.outcome.Reason == fleet.ReasonBudget
}

// parts returns what is held of the answer's body.
func (r *result) parts() [][]byte {
	if r.rest == nil {
		return [][]byte{r.content.Bytes()}
	}
	return [][]byte{r.content.Bytes(), r.rest.Bytes()}
}

// length returns the number of bytes that are held of the answer's body.
func (r *result) length() (length int64) {
	for _, part := range r.parts() {
		length += int64(len(part))
	}
	return length
}

// close releases the answer's connection and memory.
func (r *result) close() {
	if r.exchange != nil {
		r.exchange.Close()
	}
	if r.content != nil {
		r.content.Release()
	}
	if r.rest != nil {
		r.rest.Release()
	}
}

// describe returns a one-line description of an attempt for logs.
func (r *result) describe(backend fleet.Backend, mode attemptMode) string {
	ending := string(r.outcome.Reason)
	if r.answered() {
		ending = strconv.Itoa(r.exchange.Response.StatusCode)
	}
	text := fmt.Sprintf("%s %s@%s %s %dms", mode, backend.ID, backend.Owner, ending, r.took.Milliseconds())
	if r.serviceTime > 0 {
		text += fmt.Sprintf(" ran %dms", r.serviceTime.Milliseconds())
	}
	return text
}
