package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/refuser"
)

// refusedByOwner returns the result of an attempt for which the owner returned no answer
// of its backend server.
func (f *Forwarder) refusedByOwner(owner fleet.NodeID, exchange *pooler.Exchange, executed fleet.Executed) *result {
	defer exchange.Close()
	reason := fleet.Reason(exchange.Response.Header.Get(fleet.HeaderReason))
	drain(exchange.Response.Body)
	switch {
	case executed == fleet.ExecutedNo && reason != "":
		r := refused(reason, "the owner refused the request")
		r.outcome.RetryAfter = roomAfter(exchange.Response.Header)
		if r.ownerEnd = f.endOf(exchange.Response.Header); !r.ownerEnd.IsZero() {
			f.breaker.RecordEnd(owner, r.ownerEnd)
		}
		r.reached = exchange.Response.Header.Get(fleet.HeaderReachedBackend) == "true"
		r.notAttributed = reason == fleet.ReasonBudget
		return r
	case executed == fleet.ExecutedUnknown && reason != "":
		r := unknown(reason, "the owner lost the request")
		r.notAttributed = reason == fleet.ReasonStalled
		return r
	default:
		return unknown(fleet.ReasonBroken, "the answer does not come from an owner")
	}
}

// endOf returns when the node of an owner ends by the header of its refusal; zero if it does not stop.
func (f *Forwarder) endOf(header http.Header) time.Time {
	left, err := strconv.ParseInt(header.Get(fleet.HeaderEnds), 10, 32)
	if err != nil {
		return time.Time{}
	}
	return f.clock.Now().Add(time.Duration(left) * time.Millisecond)
}

// roomAfter returns the time after which an owner that refused a request expects room; 0 if it
// does not tell.
func roomAfter(header http.Header) time.Duration {
	wait, err := strconv.ParseInt(header.Get(fleet.HeaderRetryAfter), 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(wait) * time.Millisecond
}

// refuse writes to the caller why there is no answer.
func (f *Forwarder) refuse(w http.ResponseWriter, s *submission, r *result) {
	f.recorder.Record(f.event(fleet.EventRefusal, s, string(r.outcome.Reason)))
	f.limitWriting(w)
	refuser.Refuse(w, refuser.Refusal{
		Request:  s.id,
		Executed: r.outcome.Executed,
		Reason:   r.outcome.Reason,
		Message:  r.message,

		RetryAfter: f.retryAfter(s, r),
	})
}

// retryAfter returns the time after which the caller of a refused request may send it again,
// at most a third of the time it has left: callers do not wait for longer. It is 0 if the
// owners expect no room.
func (f *Forwarder) retryAfter(s *submission, r *result) time.Duration {
	if r.retryAfter > 0 {
		return r.retryAfter
	}
	if s.retryAfter == 0 {
		return 0
	}
	return max(time.Millisecond, min(s.retryAfter, s.deadline.Sub(f.clock.Now())/3))
}
