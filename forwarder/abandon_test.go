package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestAbandonedAttemptIsRecorded guards against requests that a stopping node gives up without a line that
// tells on what, at which backend server, and for how long the node had been stopping.
func TestAbandonedAttemptIsRecorded(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(newLedger().recordAndBreak))
	r.forwarder.Stop(time.Now().Add(-2*time.Second), time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "broken")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind != fleet.EventAbandoned {
			continue
		}
		is.Equal(e.Subject, "broken")
		is.Equal(e.Reason, "broken")
		is.True(strings.HasPrefix(e.Detail, "refund at backend-a of a, must run once"))
		for _, figure := range e.Figures {
			if figure.Name == "stopping" {
				is.True(figure.Value >= 2000)
				return
			}
		}
	}
	t.Error("not recorded")
}
