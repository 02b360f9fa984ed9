package dispatcher

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Dialect translates the headers of requests and answers for backend servers that do
// not use the fleet's own headers.
type Dialect interface {
	// TranslateRequest completes the headers of an attempt for the backend server. The headers
	// between nodes have been removed.
	TranslateRequest(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration)
	// TranslateAnswer sets the fleet's own headers: HeaderRequestID to the request that was
	// answered, HeaderExecuted and HeaderReason if the backend server refused the request
	// without running it, HeaderLimit if the answer shows whether the backend server limits its
	// requests, and HeaderLeaving if it leaves. An error means that the answer is not from the
	// backend server.
	TranslateAnswer(answer *http.Response) error
	// EchoHeader returns the header in which backend servers repeat the identifier of the request
	// that they answer.
	EchoHeader() string
}

// native is the dialect of backend servers that use the fleet's headers.
type native struct{}

// TranslateRequest sets the remaining time, the attempt number and the intended backend server.
func (native) TranslateRequest(head http.Header, backend fleet.Backend, attempt int, remaining time.Duration) {
	head.Set(fleet.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	head.Set(fleet.HeaderAttempt, strconv.Itoa(attempt))
	head.Set(fleet.HeaderBackend, string(backend.ID))
}

// TranslateAnswer accepts only status 503 as a refusal of a request that was not run.
func (native) TranslateAnswer(answer *http.Response) error {
	if answer.StatusCode != http.StatusServiceUnavailable {
		answer.Header.Del(fleet.HeaderExecuted)
	}
	answer.Header.Set(fleet.HeaderLimit, cmp.Or(answer.Header.Get(fleet.HeaderLimit), fleet.LimitNone))
	return nil
}

// EchoHeader returns the fleet's own header.
func (native) EchoHeader() string { return fleet.HeaderRequestID }
