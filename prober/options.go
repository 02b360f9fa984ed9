package prober

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	defaultInterval        = time.Second
	defaultTimeout         = 400 * time.Millisecond
	defaultCompareInterval = 15 * time.Second
	defaultBytesPerSecond  = 6 << 10
)

// Journal records events.
type Journal interface {
	Record(fleet.Event)
}

type noJournal struct{}

func (noJournal) Record(fleet.Event) {}

// Option changes a prober's settings.
type Option func(*Prober)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(p *Prober) { p.clock = clock }
}

// WithSeeds sets the peer addresses through which the node joins the fleet.
func WithSeeds(addresses ...string) Option {
	return func(p *Prober) { p.seeds = addresses }
}

// WithRandom sets the seed of random choices.
func WithRandom(seed uint64) Option {
	return func(p *Prober) { p.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithInterval sets the time between two probes.
func WithInterval(interval time.Duration) Option {
	return func(p *Prober) { p.interval = interval }
}

// WithTimeout sets the time limit of a direct probe.
func WithTimeout(timeout time.Duration) Option {
	return func(p *Prober) { p.timeout = timeout }
}

// WithCompareInterval sets the time between two comparisons of tables.
func WithCompareInterval(interval time.Duration) Option {
	return func(p *Prober) { p.compareInterval = interval }
}

// WithBytesPerSecond sets the mean rate at which changes are sent.
func WithBytesPerSecond(bytes int) Option {
	return func(p *Prober) { p.bytesPerSecond = bytes }
}

// WithJournal sets the recorder of events.
func WithJournal(journal Journal) Option {
	return func(p *Prober) { p.journal = journal }
}

// WithOwner sets the owner of this VM's backend servers.
func WithOwner(owner Owner) Option {
	return func(p *Prober) { p.owner = owner }
}

// WithProgress sets the source of replication progress and state.
func WithProgress(progress Progress) Option {
	return func(p *Prober) { p.progress = progress }
}

// WithMetrics sets the registry of the counters.
func WithMetrics(registry metrics.Registry) Option {
	return func(p *Prober) { p.registry = registry }
}
