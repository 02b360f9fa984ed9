package baseline

import (
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// baseEjectionTime is the length of the first ejection of a backend server; each
	// further ejection is longer by the same time.
	baseEjectionTime = 30 * time.Second
	// maxEjectedShare is the share of backend servers that may be ejected at a time.
	maxEjectedShare = 0.5
)

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// detector holds the state that the rules share.
type detector struct {
	clock Clock
	// ejected is the end of each current ejection.
	ejected map[fleet.BackendID]time.Time
	// ejections counts the ejections of each backend server.
	ejections map[fleet.BackendID]int
	seen      map[fleet.BackendID]bool
	events    []fleet.Event
}

func newDetector(clock Clock) detector {
	return detector{
		clock:     clock,
		ejected:   map[fleet.BackendID]time.Time{},
		ejections: map[fleet.BackendID]int{},
		seen:      map[fleet.BackendID]bool{},
	}
}

// Health returns fleet.Ejected or fleet.Healthy.
func (d *detector) Health(id fleet.BackendID) fleet.Health {
	if _, found := d.ejected[id]; found {
		return fleet.Ejected
	}
	return fleet.Healthy
}

// Share returns 0 for an ejected backend server, 1 for any other.
func (d *detector) Share(id fleet.BackendID) float64 {
	if _, found := d.ejected[id]; found {
		return 0
	}
	return 1
}

// StartAttempt does nothing: these rules evaluate results only.
func (d *detector) StartAttempt(fleet.ServiceName, fleet.BackendID, fleet.RequestKind) evaluator.Attempt {
	return evaluator.Attempt{}
}

// EndAttempt does nothing.
func (d *detector) EndAttempt(evaluator.Attempt) {}

// Tick ends expired ejections and returns the events since the last call.
func (d *detector) Tick(now time.Time) []fleet.Event {
	for id, until := range d.ejected {
		if !now.Before(until) {
			delete(d.ejected, id)
		}
	}
	events := d.events
	d.events = nil
	return events
}

// eject ejects a backend server unless maxEjectedShare would be exceeded.
func (d *detector) eject(id fleet.BackendID, now time.Time, reason string) {
	if _, found := d.ejected[id]; found {
		return
	}
	if float64(len(d.ejected)+1) > maxEjectedShare*float64(len(d.seen)) {
		return
	}
	d.ejections[id]++
	d.ejected[id] = now.Add(time.Duration(d.ejections[id]) * baseEjectionTime)
	d.events = append(d.events, fleet.NewEvent(fleet.EventEjection, string(id), reason))
}

// failed reports whether a result counts as a failure.
func failed(class fleet.Class) bool {
	return class != fleet.ClassOK && class != fleet.ClassRefused && class != fleet.ClassCancelled
}
