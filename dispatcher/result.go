package dispatcher

import (
	"net/http"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// result is the result of an attempt at the backend server.
type result struct {
	outcome fleet.Outcome
	message string
	// exchange and content hold the answer when there is one.
	exchange *pooler.Exchange
	content  *collector.Content
	// reached is set when the backend server itself refused the request.
	reached bool
	// complete is false when the rest of the answer must be streamed.
	complete bool
}

// close releases the answer's connection and memory.
func (r *result) close() {
	if r.exchange != nil {
		r.exchange.Close()
	}
	if r.content != nil {
		r.content.Release()
	}
}

// class classifies the result for the health evaluation of the backend server.
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
	case fleet.ReasonCancelled, fleet.ReasonStalled, fleet.ReasonStopped:
		return fleet.ClassCancelled
	case fleet.ReasonConnect, fleet.ReasonCrash:
		return fleet.ClassUnreachable
	default:
		return fleet.ClassBroken
	}
}
