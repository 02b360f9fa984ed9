package prober

import "github.com/rcrowley/go-metrics"

// counters holds the prober's metrics.
type counters struct {
	probes      metrics.Counter
	failures    metrics.Counter
	indirect    metrics.Counter
	suspicions  metrics.Counter
	deaths      metrics.Counter
	refutations metrics.Counter
	withheld    metrics.Counter
	pauses      metrics.Counter
	comparisons metrics.Counter
	gossipBytes metrics.Counter
	invalid     metrics.Counter
	pushes      metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("member."+name, registry)
	}
	return counters{
		probes:      counter("probes"),
		failures:    counter("probe.failures"),
		indirect:    counter("probe.indirect"),
		suspicions:  counter("suspicions"),
		deaths:      counter("deaths"),
		refutations: counter("refutations"),
		withheld:    counter("accusations.withheld"),
		pauses:      counter("pauses"),
		comparisons: counter("comparisons"),
		gossipBytes: counter("gossip.bytes"),
		invalid:     counter("gossip.invalid"),
		pushes:      counter("pushes"),
	}
}
