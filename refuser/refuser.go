// Package refuser writes the answer to a request that got none from a backend server.
package refuser

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// StatusCancelled is the status of a request whose caller disconnected.
const StatusCancelled = 499

// defaultRetryAfter is the time after which a refused caller may retry if it is not known when
// there will be room.
const defaultRetryAfter = time.Second

var statuses = map[fleet.Reason]int{
	fleet.ReasonBadRequest: http.StatusBadRequest,
	fleet.ReasonNoRoute:    http.StatusNotFound,
	fleet.ReasonKey:        http.StatusUnauthorized,
	fleet.ReasonDuplicate:  http.StatusConflict,
	// The key may have been used by a request that ran.
	fleet.ReasonDeduplicator: http.StatusBadGateway,
	fleet.ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	fleet.ReasonPoison:       http.StatusUnprocessableEntity,
	fleet.ReasonLimit:        http.StatusTooManyRequests,
	fleet.ReasonCancelled:    StatusCancelled,
	fleet.ReasonConnect:      http.StatusBadGateway,
	fleet.ReasonBroken:       http.StatusBadGateway,
	fleet.ReasonCrash:        http.StatusBadGateway,
	fleet.ReasonOwnersLost:   http.StatusBadGateway,
	fleet.ReasonDeadline:     http.StatusGatewayTimeout,
	fleet.ReasonStalled:      http.StatusGatewayTimeout,
	fleet.ReasonStopped:      http.StatusBadGateway,
}

// Status returns the HTTP status that a reason has in most refusals; it is 503 for all temporary
// conditions.
func Status(reason fleet.Reason) int {
	if status, found := statuses[reason]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

// status returns the status of a refusal. One that promises that the request did not run is
// sent with proof only, and always instead of one that promises nothing.
func (r Refusal) status() int {
	status := Status(r.Reason)
	proved := r.Executed == fleet.ExecutedNo
	switch {
	case proved && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	case !proved && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return http.StatusBadGateway
	}
	return status
}

// retryable reports whether the caller may send the request again with some hope.
func (r Refusal) retryable() bool {
	switch r.status() {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	case StatusCancelled: // also an upload that was too slow
		return r.Executed == fleet.ExecutedNo
	}
	return false
}

// Refuse writes a refusal with its headers and JSON body.
func Refuse(w http.ResponseWriter, r Refusal) {
	content, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fleet.HeaderRequestID, string(r.Request))
	header.Set(fleet.HeaderExecuted, string(r.Executed))
	header.Set(fleet.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set(fleet.HeaderRetryAfter, roundUp(r.RetryAfter, time.Millisecond))
	}
	if r.retryable() {
		header.Set("Retry-After", roundUp(cmp.Or(r.RetryAfter, defaultRetryAfter), time.Second))
	}
	if r.status() == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", fleet.HeaderKey)
	}
	w.WriteHeader(r.status())
	// A write error means that the caller has disconnected; nothing more can be sent.
	_, _ = w.Write(append(content, '\n'))
}

// roundUp returns a time in units, rounded up so that no caller returns too soon.
func roundUp(wait, unit time.Duration) string {
	return strconv.FormatInt(int64((wait+unit-1)/unit), 10)
}
