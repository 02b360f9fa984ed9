package model

import (
	"slices"
	"time"
)

// scenario is a fault or shift that is repeated throughout a run.
type scenario struct {
	summary string
	// nodes is the number of ingress nodes unless the settings give one; 0 means 1.
	nodes int
	// heavy is true for heavy-tailed service times.
	heavy bool
	// fault returns the fault of a backend server; nil for none.
	fault func(*Model) fault
	// zone makes the fault affect all backend servers of an availability zone.
	zone bool
	// oneIngress is true if the fault is on the path from one ingress node and the
	// backend servers are healthy: that node should route around them, but an
	// ejection by the fleet is false.
	oneIngress bool
	// shift turns a change of the whole service on or off; nil for none.
	shift func(m *Model, on bool)
	// setup runs once before the run.
	setup func(*Model)
}

// flapPeriods are the cycle lengths of flapping backend servers.
var flapPeriods = []time.Duration{2 * time.Second, 10 * time.Second, 40 * time.Second}

const (
	// nodeDelay is the time that a slow node adds to each request.
	nodeDelay = 300 * time.Millisecond
	// lossDelay is the delay of a first retransmission, lossShare the share of
	// requests that it delays.
	lossDelay = 200 * time.Millisecond
	lossShare = 0.6
	// overloadFactor is the ratio of the load to the capacity during an overload.
	overloadFactor = 1.3
	// costlyShare is the share of requests from the costly caller, costlyFactor the
	// factor on their service times.
	costlyShare  = 0.1
	costlyFactor = 20.0
	// pauseTime is the length of a pause of an ingress node.
	pauseTime = 3 * time.Second
)

var scenarios = map[string]scenario{
	"healthy":    {summary: "nothing happens"},
	"heavy-tail": {summary: "nothing happens; heavy-tailed times", heavy: true},
	"slow": {summary: "one backend server is --slow times slower", fault: func(m *Model) fault {
		return fault{slow: m.settings.Slow, kind: -1}
	}},
	"slow-heavy": {
		summary: "as slow, with heavy-tailed times", heavy: true,
		fault: func(m *Model) fault { return fault{slow: m.settings.Slow, kind: -1} },
	},
	"errors": {summary: "one fails in --errors of its requests", fault: func(m *Model) fault {
		return fault{errors: m.settings.Errors}
	}},
	"fast-errors": {summary: "as errors, and the errors come at once", fault: func(m *Model) fault {
		return fault{errors: m.settings.Errors, fast: true}
	}},
	"wrong": {summary: "one gives broken answers to --errors of its requests", fault: func(m *Model) fault {
		return fault{wrong: m.settings.Errors}
	}},
	"stuck": {summary: "one accepts requests and never answers", fault: func(*Model) fault {
		return fault{stuck: true}
	}},
	"flap": {summary: "one is slow by turns, in cycles of 2 s, 10 s or 40 s", fault: func(m *Model) fault {
		period := flapPeriods[m.random.IntN(len(flapPeriods))]
		return fault{slow: m.settings.Slow, kind: -1, period: period}
	}},
	"kind-slow": {summary: "one is slow for one request kind only", fault: func(m *Model) fault {
		return fault{slow: m.settings.Slow, kind: slowKind}
	}},
	"link": {
		summary: "the way from one ingress node to one owner loses packets", nodes: 3, oneIngress: true,
		fault: func(*Model) fault { return fault{lossy: true, ingress: 0} },
	},
	"zone-link": {
		summary: "the way from one ingress node to one availability zone loses packets", nodes: 3, oneIngress: true,
		zone:  true,
		fault: func(*Model) fault { return fault{lossy: true, ingress: 0} },
	},
	"slow-node": {summary: "the node beside one backend server is slow", nodes: 3, fault: func(*Model) fault {
		return fault{pathDelay: nodeDelay, ingress: -1}
	}},
	"all-slow": {summary: "the whole service is --slow times slower for a while", shift: func(m *Model, on bool) {
		m.slowAll = 1
		if on {
			m.slowAll = m.settings.Slow
		}
	}},
	"all-errors": {summary: "the whole service fails in --errors of its requests for a while", shift: func(m *Model, on bool) {
		m.errorsAll = 0
		if on {
			m.errorsAll = m.settings.Errors
		}
	}},
	"mix-shift":   {summary: "costly request kinds take over for a while", shift: func(m *Model, on bool) { m.shifted = on }},
	"slow-caller": {summary: "one caller sends costly requests for a while", shift: func(m *Model, on bool) { m.costlyCaller = on }},
	"cold-start":  {summary: "one backend server after the other is replaced and starts cold", shift: (*Model).replace},
	"overload":    {summary: "more requests come than the service can serve", shift: (*Model).overload},
	"pause":       {summary: "the ingress node is paused for a while", shift: (*Model).pause},
	"log-outage": {
		summary: "as slow, and the log service is down",
		fault:   func(m *Model) fault { return fault{slow: m.settings.Slow, kind: -1} },
		setup:   func(m *Model) { m.log.down = true },
	},
}

// Scenarios returns the descriptions of all scenarios, sorted by name.
func Scenarios() []Description {
	var list []Description
	for name, s := range scenarios {
		list = append(list, Description{Name: name, Summary: s.summary})
	}
	slices.SortFunc(list, compareDescriptions)
	return list
}

// replace replaces a random backend server with a new one that starts cold.
func (m *Model) replace(on bool) {
	if !on {
		return
	}
	b := m.backends[m.random.IntN(len(m.backends))]
	m.replaceBackend(b)
}

// overload raises the rate of requests above the capacity.
func (m *Model) overload(on bool) {
	m.rateFactor = 1
	if !on {
		return
	}
	work := 0.0
	for _, kind := range requestKinds {
		work += kind.weight * kind.median.Seconds()
	}
	work *= meanOverMedian(m.settings.Sigma)
	capacity := float64(m.settings.Slots) / work
	m.rateFactor = max(overloadFactor*capacity/m.settings.Rate, 1)
}

// pause pauses the first ingress node.
func (m *Model) pause(on bool) {
	if on {
		m.ingresses[0].pausedUntil = m.clock.now + pauseTime
	}
}
