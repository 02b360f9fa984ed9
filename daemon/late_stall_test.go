package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/settings"
)

// lateShutdown is a shutdown that has passed its limit and goes on for a late request.
type lateShutdown struct {
	clock   *clockwork.FakeClock
	daemon  *Daemon
	address string
	ended   chan error
}

// newLateShutdown returns a shutdown in its extension, in which there was no stall.
func newLateShutdown(t *testing.T) *lateShutdown {
	t.Helper()
	is := is.New(t)
	grace := GracePeriod{Linger: time.Second, Shutdown: 5 * time.Second, Extension: 10 * time.Second}
	l := &lateShutdown{clock: clockwork.NewFakeClock(), ended: make(chan error, 1)}
	stop := waits{what: make(chan string, 16)}
	l.daemon = New(settings.Node{
		Name: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Memory: 64 << 20, Lease: time.Second,
	}, WithClock(l.clock), WithStop(stop), WithGracePeriod(func() GracePeriod { return grace }))
	s, err := l.daemon.listen()
	is.NoErr(err)
	l.address = s.callerListener.Addr().String()
	s.serve()
	is.True(l.daemon.work.Enter(drainer.Requests))
	is.True(l.daemon.work.Enter(drainer.LateRequests))
	go func() { l.ended <- l.daemon.shutdown(s) }()
	awaitStep(t, l.clock, stop, "callers' requests at work")
	for range 12 {
		step(l.clock)
	}
	return l
}

// endRequest ends the late request.
func (l *lateShutdown) endRequest() {
	l.daemon.work.Leave(drainer.Requests)
	l.daemon.work.Leave(drainer.LateRequests)
}

// TestStallInTheExtensionHasRefusalsRepeated guards against requests that get no answer as they arrived in a stall of a stopping
// node that has passed its limit, and goes on for a request at work.
func TestStallInTheExtensionHasRefusalsRepeated(t *testing.T) {
	is := is.New(t)
	l := newLateShutdown(t)
	l.clock.Advance(time.Second)      // a stall, in which the request at work ends
	time.Sleep(20 * time.Millisecond) // the monitor notices it
	l.endRequest()
	time.Sleep(100 * time.Millisecond) // in which connections would close
	response, err := http.Get("http://" + l.address)
	is.NoErr(err) // new requests are still refused
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	for len(l.ended) == 0 {
		step(l.clock)
	}
	is.NoErr(<-l.ended)
}

// TestExtensionWithoutAStallEndsWithItsRequest guards against a node that takes the time since its limit for a stall, and repeats its
// refusals after each extension.
func TestExtensionWithoutAStallEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	l := newLateShutdown(t)
	l.endRequest()
	select {
	case err := <-l.ended:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the shutdown waits on")
	}
}
