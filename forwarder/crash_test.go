package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

// TestDyingBackendServerCountsAsCrashed closes the connection of a request 15 ms before
// the port, as a process that exits on a busy VM does.
func TestDyingBackendServerCountsAsCrashed(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var o *owner
	o = r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		time.AfterFunc(15*time.Millisecond, func() { o.server.Listener.Close() })
		connection.Close()
	}))
	r.addOwner("b", named("b"))
	response, err := http.Get(r.caller.URL + "/1")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.Header.Get(fleet.HeaderReason), string(fleet.ReasonCrash)) // not sent to the next one
}
