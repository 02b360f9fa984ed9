package balancer

import (
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Option sets up a balancer.
type Option func(*Balancer)

// WithClock sets the clock; the system's is used without it.
func WithClock(clock Clock) Option {
	return func(b *Balancer) { b.clock = clock }
}

// WithZone sets the availability zone that goes first; without it none does.
func WithZone(zone fleet.Zone) Option {
	return func(b *Balancer) { b.zone = zone }
}

// WithVerdicts sets who tells how far backend servers are trusted; without it all are.
func WithVerdicts(verdicts Verdicts) Option {
	return func(b *Balancer) { b.verdicts = verdicts }
}

// WithSeed makes the draws repeatable.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.random = rand.New(rand.NewPCG(seed, seed)) }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type trusting struct{}

func (trusting) Health(fleet.BackendID) fleet.Health { return fleet.Healthy }

func (trusting) Share(fleet.BackendID) float64 { return 1 }
