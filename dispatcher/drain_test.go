package dispatcher_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// watched is a backend server whose lookups are observed.
type watched struct {
	*local
	// afterLookup is called after each lookup.
	afterLookup func()
}

func (w *watched) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	defer w.afterLookup()
	return w.local.Backend(id)
}

// TestDrainRefusesWhatEnteredBeforeIt guards against a drain that leaves an attempt waiting for a
// slot because it entered before and was queued after.
func TestDrainRefusesWhatEnteredBeforeIt(t *testing.T) {
	for name, sendTo := range map[string]func(d *dispatcher.Dispatcher, ticket string) *httptest.ResponseRecorder{
		"attempt": func(d *dispatcher.Dispatcher, ticket string) *httptest.ResponseRecorder {
			return send(d, "r2", "1", ticket, "false")
		},
		"offer": func(d *dispatcher.Dispatcher, _ string) *httptest.ResponseRecorder {
			return offer(d, "r2", "1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &watched{local: newLocal(t), afterLookup: func() {}}
			w.backend.Slots = 1
			// The reservation of the only slot does not expire at this clock.
			d := dispatcher.New("node", w, dispatcher.WithClock(clockwork.NewFakeClockAt(time.Now())))
			first := offer(d, "r1", "1")
			is.Equal(outcome(first), "no offered")
			w.afterLookup = d.Drain
			is.Equal(outcome(sendTo(d, first.Header().Get(fleet.HeaderTicket))), "no draining")
		})
	}
}
