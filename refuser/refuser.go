// Package refuser writes the answer to a request that got none from a backend server.
package refuser

import (
	"encoding/json"
	"net/http"

	"cowsliptally.example/cowsliptally/fleet"
)

// StatusCancelled is the status of a request whose caller disconnected.
const StatusCancelled = 499

// retryAfter is the number of seconds after which a refused caller may retry.
const retryAfter = "1"

var statuses = map[fleet.Reason]int{
	fleet.ReasonBadRequest: http.StatusBadRequest,
	fleet.ReasonNoRoute:    http.StatusNotFound,
	fleet.ReasonDuplicate:  http.StatusConflict,
	fleet.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	fleet.ReasonPoison:     http.StatusUnprocessableEntity,
	fleet.ReasonLimit:      http.StatusTooManyRequests,
	fleet.ReasonCancelled:  StatusCancelled,
	fleet.ReasonConnect:    http.StatusBadGateway,
	fleet.ReasonBroken:     http.StatusBadGateway,
	fleet.ReasonCrash:      http.StatusBadGateway,
	fleet.ReasonOwnersLost: http.StatusBadGateway,
	fleet.ReasonDeadline:   http.StatusGatewayTimeout,
	fleet.ReasonStalled:    http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a reason; it is 503 for all temporary conditions.
func Status(reason fleet.Reason) int {
	if status, found := statuses[reason]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

// Refuse writes a refusal with its headers and JSON body.
func Refuse(w http.ResponseWriter, r Refusal) {
	content, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	status := Status(r.Reason)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fleet.HeaderRequestID, string(r.Request))
	header.Set(fleet.HeaderExecuted, string(r.Executed))
	header.Set(fleet.HeaderReason, string(r.Reason))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	// A write error means that the caller has disconnected; nothing more can be sent.
	_, _ = w.Write(append(content, '\n'))
}
