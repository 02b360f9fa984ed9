package baseline

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/judge"
)

const (
	// baseTime is the length of a first ejection; each further one adds as much.
	baseTime = 30 * time.Second
	// mostEjected is the part of the backend servers that may be out at a time.
	mostEjected = 0.5
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// outlier is what the rules share: who is out, and until when.
type outlier struct {
	clock  Clock
	out    map[fleet.BackendID]time.Time
	times  map[fleet.BackendID]int
	seen   map[fleet.BackendID]bool
	events []fleet.Event
}

func newOutlier(clock Clock) outlier {
	return outlier{
		clock: clock,
		out:   map[fleet.BackendID]time.Time{},
		times: map[fleet.BackendID]int{},
		seen:  map[fleet.BackendID]bool{},
	}
}

// Health returns ejected or healthy.
func (o *outlier) Health(id fleet.BackendID) fleet.Health {
	if _, found := o.out[id]; found {
		return fleet.Ejected
	}
	return fleet.Healthy
}

// Share returns 0 for an ejected backend server, 1 for any other.
func (o *outlier) Share(id fleet.BackendID) float64 {
	if _, found := o.out[id]; found {
		return 0
	}
	return 1
}

// Pending does nothing: these rules wait for results.
func (o *outlier) Pending(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) judge.Attempt {
	return judge.Attempt{}
}

// Done does nothing.
func (o *outlier) Done(judge.Attempt) {}

// Tick ends ejections and returns what happened.
func (o *outlier) Tick(now time.Time) []fleet.Event {
	for id, until := range o.out {
		if !now.Before(until) {
			delete(o.out, id)
		}
	}
	events := o.events
	o.events = nil
	return events
}

// eject sets a backend server aside unless too many are out.
func (o *outlier) eject(id fleet.BackendID, now time.Time, reason string) {
	if _, found := o.out[id]; found {
		return
	}
	if float64(len(o.out)+1) > mostEjected*float64(len(o.seen)) {
		return
	}
	o.times[id]++
	o.out[id] = now.Add(time.Duration(o.times[id]) * baseTime)
	o.events = append(o.events, fleet.NewEvent(fleet.EventEjection, string(id), reason))
}

// failed reports whether a result counts as a failure.
func failed(class fleet.Class) bool {
	return class != fleet.ClassOK && class != fleet.ClassRefused && class != fleet.ClassCancelled
}
