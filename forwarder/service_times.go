package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forecaster"
)

// serviceTimes holds how long requests of each kind usually take at the backend servers of each service. It is safe for
// concurrent use.
type serviceTimes struct {
	clock clockwork.Clock

	mu       sync.Mutex
	services map[fleet.ServiceName]*forecaster.Forecaster
}

func newServiceTimes(clock clockwork.Clock) *serviceTimes {
	return &serviceTimes{clock: clock, services: make(map[fleet.ServiceName]*forecaster.Forecaster)}
}

// record records the service time of a request that a backend server has answered.
func (t *serviceTimes) record(service fleet.ServiceName, kind fleet.RequestKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.services[service]
	if !found {
		known = forecaster.New()
		t.services[service] = known
	}
	known.Record(kind, took, t.clock.Now())
}

// usual returns the usual service time of a kind; 0 if it is not known.
func (t *serviceTimes) usual(service fleet.ServiceName, kind fleet.RequestKind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.services[service]
	if !found {
		return 0
	}
	usual, _ := known.Usual(kind, t.clock.Now())
	return usual
}
