package quarantiner

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// DefaultDuration is how long a crash is remembered. A request that crashes backend servers causes the
	// first crashes once more after that.
	DefaultDuration = 24 * time.Hour
	// TrialDuration bounds a trial request, measured by its ingress from its request for the
	// permission.
	TrialDuration = 30 * time.Second
	// DefaultCapacity is the number of identities remembered at a time.
	DefaultCapacity = 8192
	// sharedPause is the time after a crash with several trial requests in slots. Most of them did not cause it; the
	// one that did runs beside fewer of them by then.
	sharedPause = 5 * time.Second
	// Once maxLateCrashes have followed the first earlyCrashes, no trial request is permitted: one crash less than a
	// request may cause, as a node that is cut off may permit another one.
	earlyCrashes   = 3
	maxLateCrashes = 2
	// crashWindow is the time in which reports of one backend server's crash are about the same crash.
	crashWindow = 10 * time.Second
)

// pauses are the times after a crash in a trial request until the next one, by the number of such crashes.
// Disruptions that end several backend servers in turn are over after the first.
var pauses = []time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute}

// Recorder records events.
type Recorder interface {
	Record(fleet.Event)
}

type noop struct{}

func (noop) Record(fleet.Event) {}

// Option changes a setting of a Quarantiner.
type Option func(*Quarantiner)

// WithDuration sets how long a crash is remembered.
func WithDuration(duration time.Duration) Option {
	return func(q *Quarantiner) { q.duration = duration }
}

// WithCapacity sets the number of identities remembered at a time.
func WithCapacity(capacity int) Option {
	return func(q *Quarantiner) { q.capacity = capacity }
}

// WithRecorder sets what records the decisions about trial requests, and which requests became poison.
func WithRecorder(recorder Recorder) Option {
	return func(q *Quarantiner) { q.recorder = recorder }
}
