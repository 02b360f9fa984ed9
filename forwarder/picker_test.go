package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestFailedAttemptsAreReportedToThePicker answers one request and fails another.
func TestFailedAttemptsAreReportedToThePicker(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	status := http.StatusOK
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
	}))
	sendRequest(t, r, "POST", "/refund", "")
	is.Equal(r.failed, 0)
	status = http.StatusInternalServerError
	sendRequest(t, r, "POST", "/refund", "")
	is.Equal(r.failed, 1)
}
