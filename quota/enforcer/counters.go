package enforcer

import "github.com/rcrowley/go-metrics"

// counters holds the metrics. Their number does not depend on the number of organisations.
type counters struct {
	admitted    metrics.Counter
	over        metrics.Counter
	local       metrics.Counter
	localOver   metrics.Counter
	returned    metrics.Counter
	asks        metrics.Counter
	failures    metrics.Counter
	unsupported metrics.Counter
	granted     metrics.Counter
	passedOn    metrics.Counter
	renewals    metrics.Counter
	unpromised  metrics.Counter
	restarts    metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("quota."+name, registry)
	}
	return counters{
		admitted:    counter("admitted"),
		over:        counter("over"),
		local:       counter("local"),
		localOver:   counter("local.over"),
		returned:    counter("givenback"),
		asks:        counter("asks"),
		failures:    counter("asks.failed"),
		unsupported: counter("asks.unsupported"),
		granted:     counter("granted"),
		passedOn:    counter("passedon"),
		renewals:    counter("renewals"),
		unpromised:  counter("renewals.failed"),
		restarts:    counter("restarts"),
	}
}
