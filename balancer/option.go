package balancer

import (
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// Option changes a setting of a Balancer.
type Option func(*Balancer)

// WithClock sets the clock; the default is the system's.
func WithClock(clock Clock) Option {
	return func(b *Balancer) { b.clock = clock }
}

// WithZone sets the preferred availability zone; by default there is none.
func WithZone(zone fleet.Zone) Option {
	return func(b *Balancer) { b.zone = zone }
}

// WithHealthSource sets the source of the health of backend servers; by default all are healthy.
func WithHealthSource(health HealthSource) Option {
	return func(b *Balancer) { b.health = health }
}

// WithSeed makes the draws repeatable.
func WithSeed(seed uint64) Option {
	return func(b *Balancer) { b.random = rand.New(rand.NewPCG(seed, seed)) }
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

type allHealthy struct{}

func (allHealthy) Health(fleet.BackendID) fleet.Health { return fleet.Healthy }

func (allHealthy) Share(fleet.BackendID) float64 { return 1 }
