package dispatcher

import (
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Dialect translates the heads of requests and answers for backend servers that use
// other headers than the fleet's own.
type Dialect interface {
	// Request completes the head of an attempt for the backend server. The headers
	// between nodes are gone from it.
	Request(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration)
	// Answer puts into the head what the fleet's own headers would say: which request
	// was answered (HeaderRequest), and HeaderExecuted and HeaderReason where the
	// backend server refused it unrun. An error means that it is no answer of the
	// backend server.
	Answer(answer *http.Response) error
}

// native is the dialect of backend servers that use the fleet's headers.
type native struct{}

// Request tells the time left, the attempt and whom it is meant for.
func (native) Request(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration) {
	head.Set(fleet.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	head.Set(fleet.HeaderAttempt, strconv.Itoa(attempt))
	head.Set(fleet.HeaderBackend, string(backend.ID))
}

// Answer lets only status 503 tell that a request was refused unrun.
func (native) Answer(answer *http.Response) error {
	if answer.StatusCode != http.StatusServiceUnavailable {
		answer.Header.Del(fleet.HeaderExecuted)
	}
	return nil
}
