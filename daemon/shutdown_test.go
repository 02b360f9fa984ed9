package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/settings"
)

// TestLeavingNodeClosesConnectionsWithItsAnswers guards against requests sent over a
// connection that the node is about to close: the answers of a leaving node carry
// "Connection: close".
func TestLeavingNodeClosesConnectionsWithItsAnswers(t *testing.T) {
	is := is.New(t)
	d := &Daemon{}
	server := httptest.NewServer(d.closeWhenLeaving(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})))
	defer server.Close()
	for _, leaving := range []bool{false, true, true} {
		d.leaving.Store(leaving)
		response, err := server.Client().Get(server.URL)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusNoContent)
		is.Equal(response.Close, leaving)
	}
}

func TestLingerLastsItsTime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := &Daemon{clock: clock, stop: noStop{}, set: settings.Node{Linger: 2 * time.Second}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.linger(context.Background(), d.gracePeriod())
	}()
	is.NoErr(clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(2*time.Second - 1)
	select {
	case <-done:
		t.Fatal("linger returned before its duration had passed")
	default:
	}
	clock.Advance(1)
	<-done
}

// signalled is a Stop whose signal arrived at a time.
type signalled struct {
	noStop
	at time.Time
}

func (s signalled) SignalledAt() (at time.Time, signalled bool) { return s.at, true }

// TestStalledProcessLingersFromItsSignal guards against requests that are accepted late in the grace
// period, and cut at its end, because the process was stalled when the signal arrived.
func TestStalledProcessLingersFromItsSignal(t *testing.T) {
	const lingering = 2 * time.Second
	for name, stall := range map[string]time.Duration{"not stalled": 0, "stalled": 1500 * time.Millisecond, "stalled for longer": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			d := &Daemon{clock: clock, stop: signalled{at: clock.Now()}, set: settings.Node{Linger: lingering}}
			clock.Advance(stall)
			done := make(chan struct{})
			go func() {
				defer close(done)
				d.linger(context.Background(), d.gracePeriod())
			}()
			if left := lingering - stall; left > 0 {
				is.NoErr(clock.BlockUntilContext(context.Background(), 1))
				clock.Advance(left)
			}
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				t.Error("new requests are still accepted")
				clock.Advance(lingering)
				<-done
			}
		})
	}
}
