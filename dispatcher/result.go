package dispatcher

import (
	"net/http"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// result is what became of an attempt at the backend server.
type result struct {
	outcome fleet.Outcome
	message string
	// exchange and content hold the answer when there is one.
	exchange *pooler.Exchange
	content  *collector.Content
	// reached tells that the backend server itself refused the request.
	reached bool
	// whole is false when the rest of the answer must be streamed.
	whole bool
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

// class says what the result tells of the backend server.
func (r *result) class() fleet.Class {
	if r.reached {
		return fleet.ClassRefused
	}
	switch r.outcome.Reason {
	case "":
		if r.exchange.Response.StatusCode >= http.StatusInternalServerError {
			return fleet.ClassError
		}
		return fleet.ClassOK
	case fleet.ReasonDeadline:
		return fleet.ClassTimeout
	case fleet.ReasonCancelled, fleet.ReasonSilent:
		return fleet.ClassCancelled
	case fleet.ReasonConnect, fleet.ReasonCrash:
		return fleet.ClassUnreachable
	default:
		return fleet.ClassBroken
	}
}
