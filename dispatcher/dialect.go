package dispatcher

import (
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Dialect translates the headers of requests and answers for backend servers that do
// not use the fleet's own headers.
type Dialect interface {
	// Request completes the headers of an attempt for the backend server. The headers
	// between nodes have been removed.
	Request(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration)
	// Answer sets the fleet's own headers: HeaderRequest to the request that was
	// answered, and HeaderExecuted and HeaderReason if the backend server refused the
	// request without running it. An error means that the answer is not from the
	// backend server.
	Answer(answer *http.Response) error
}

// native is the dialect of backend servers that use the fleet's headers.
type native struct{}

// Request sets the remaining time, the attempt number and the intended backend server.
func (native) Request(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration) {
	head.Set(fleet.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	head.Set(fleet.HeaderAttempt, strconv.Itoa(attempt))
	head.Set(fleet.HeaderBackend, string(backend.ID))
}

// Answer accepts only status 503 as a refusal of a request that was not run.
func (native) Answer(answer *http.Response) error {
	if answer.StatusCode != http.StatusServiceUnavailable {
		answer.Header.Del(fleet.HeaderExecuted)
	}
	return nil
}
