package dispatcher_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// events collects events.
type events struct {
	mu  sync.Mutex
	all []fleet.Event
}

func (e *events) Record(event fleet.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, event)
}

// of returns the reason and the figures of each event of a kind.
func (e *events) of(kind fleet.EventKind) (texts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range e.all {
		if event.Kind != kind {
			continue
		}
		text := event.Reason
		for _, figure := range event.Figures {
			text += fmt.Sprintf(" %s=%v", figure.Name, figure.Value)
		}
		texts = append(texts, text)
	}
	return texts
}

// limited is a backend server that names a limit in its answers while the limit is not empty.
type limited struct {
	clock clockwork.Clock
	mu    sync.Mutex
	limit string
	// arrivals holds when each request arrived.
	arrivals []time.Time
}

func (l *limited) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *limited) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, l.clock.Now())
	if l.limit != "" {
		w.Header().Set(fleet.HeaderLimit, l.limit)
	}
}

// most returns the most arrivals within any time of this length.
func (l *limited) most(within time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) >= within {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newLimited starts a backend server that names a limit.
func newLimited(t *testing.T, clock clockwork.Clock, limit string) (*limited, *local) {
	server := &limited{clock: clock, limit: limit}
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	l := newLocal(t)
	l.backend.Address = strings.TrimPrefix(listener.URL, "http://")
	return server, l
}

// TestChangesOfALimitAreRecorded has a backend server name limits, one of them malformed.
func TestChangesOfALimitAreRecorded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	server, l := newLimited(t, clock, "")
	recorded := &events{}
	d := dispatcher.New("node", l, dispatcher.WithClock(clock), dispatcher.WithRecorder(recorded))
	ticket := send(d, "r", "1", "", "false").Header().Get(fleet.HeaderTicket)
	for i, limit := range []string{"", "4", "4", "fast", "8", "-1", ""} {
		server.setLimit(limit)
		clock.Advance(time.Second)
		is.Equal(outcome(send(d, fmt.Sprint("r", i), "1", ticket, "false")), "yes ")
	}
	is.Equal(recorded.of(fleet.EventLimit), []string{
		"named limit=4 sent=2 since=1000", "named limit=8 sent=3 since=3000", "lifted limit=0 sent=2 since=2000",
	})
	is.Equal(len(recorded.of(fleet.EventSkipped)), 2)
}

// offerEvery sends an attempt each interval for a time, as ingresses that pass on what the owner
// told them last.
func offerEvery(d *dispatcher.Dispatcher, clock *clockwork.FakeClock, prefix string, interval, length time.Duration, limit *string) {
	ticket := send(d, prefix, "1", "", "false").Header().Get(fleet.HeaderTicket)
	for i := range int(length / interval) {
		w := send(d, fmt.Sprint(prefix, i), "1", ticket, "false", fleet.HeaderNoWait, "none", fleet.HeaderLimit, *limit)
		ticket = w.Header().Get(fleet.HeaderTicket)
		*limit = w.Header().Get(fleet.HeaderLimit)
		clock.Advance(interval)
	}
}

// mostIn4s is what a backend server may get in 4 s when it has named a limit: one and a half
// times the limit, and 5 requests.
func mostIn4s(limit float64) int { return int(1.5*4*limit) + 5 }

func TestBackendServerGetsNoMoreThanItNames(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 1, 3.2, 8} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			server, l := newLimited(t, clock, fmt.Sprint(limit))
			d := dispatcher.New("node", l, dispatcher.WithClock(clock))
			told := ""
			offerEvery(d, clock, "r", 20*time.Millisecond, 12*time.Second, &told)
			is.True(server.most(4*time.Second) <= mostIn4s(limit))
			is.True(float64(len(server.arrivals)) >= 0.8*12*limit) // what it takes is not withheld
			is.True(len(server.arrivals) > 2)                      // its answers can show the end of the limit
			server.setLimit("")
			offerEvery(d, clock, "s", 20*time.Millisecond, 6*time.Second, &told)
			is.True(server.most(time.Second) > 20)
		})
	}
}

// TestRestartedOwnersKeepTheLimitThatIngressesWereTold restarts the owner each second.
func TestRestartedOwnersKeepTheLimitThatIngressesWereTold(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	server, l := newLimited(t, clock, "1.2")
	told := ""
	for start := range 12 {
		d := dispatcher.New("node", l, dispatcher.WithClock(clock))
		offerEvery(d, clock, fmt.Sprint("start", start, "-"), 20*time.Millisecond, time.Second, &told)
	}
	is.True(server.most(4*time.Second) <= mostIn4s(1.2))
}
