package evaluator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Option configures an Evaluator.
type Option func(*Evaluator)

// WithClock sets the clock; the default is the system clock.
func WithClock(clock Clock) Option {
	return func(e *Evaluator) { e.clock = clock }
}

// WithSettings sets the source of services, rules and overrides; by default every
// service has the default rule and no floor.
func WithSettings(settings Settings) Option {
	return func(e *Evaluator) { e.settings = settings }
}

// WithEjections sets the source of accepted ejections; by default there are none.
func WithEjections(ejections Ejections) Option {
	return func(e *Evaluator) { e.ejections = ejections }
}

// WithDirectory sets the source of backend servers; without it the floor is not
// enforced and cold starts are not detected.
func WithDirectory(directory Directory) Option {
	return func(e *Evaluator) { e.directory = directory }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type noSettings struct{}

func (noSettings) Configuration() fleet.Configuration { return fleet.Configuration{} }

type noEjections struct{}

func (noEjections) Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool) { return nil, false }

type noDirectory struct{}

func (noDirectory) Backends(fleet.ServiceName) []fleet.Backend { return nil }
