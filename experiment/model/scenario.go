package model

import (
	"slices"
	"time"
)

// scenario is what happens in a run, again and again.
type scenario struct {
	about string
	// nodes is the number of ingress nodes unless the settings say otherwise; 0 is 1.
	nodes int
	// heavy is true for heavy-tailed service times.
	heavy bool
	// fault returns what goes wrong at a backend server; nil for nothing.
	fault func(*Model) fault
	// zone makes the fault hit all backend servers of an availability zone.
	zone bool
	// shared is true where the backend servers themselves are well, so that an
	// ejection is false, though the ingress node is right to avoid them.
	shared bool
	// shift turns a change of the whole service on or off; nil for none.
	shift func(m *Model, on bool)
	// always is set once at the begin.
	always func(*Model)
}

// flapPeriods are the cycles of flapping backend servers.
var flapPeriods = []time.Duration{2 * time.Second, 10 * time.Second, 40 * time.Second}

const (
	// nodeDelay is what a slow node adds to each request.
	nodeDelay = 300 * time.Millisecond
	// lossDelay is the time of a first repeated packet, lossShare the part of
	// requests that meets one.
	lossDelay = 200 * time.Millisecond
	lossShare = 0.6
	// overloadFactor is the load of an overload over the capacity.
	overloadFactor = 1.3
	// heavyShare is the part of requests of one costly caller, heavyFactor their cost.
	heavyShare  = 0.1
	heavyFactor = 20.0
	// pauseTime is the length of a pause of an ingress node.
	pauseTime = 3 * time.Second
)

var scenarios = map[string]scenario{
	"healthy":    {about: "nothing happens"},
	"heavy-tail": {about: "nothing happens; heavy-tailed times and short stalls", heavy: true},
	"slow": {about: "one backend server is --slow times slower", fault: func(m *Model) fault {
		return fault{slow: m.settings.Slow, kind: -1}
	}},
	"slow-heavy": {
		about: "as slow, with heavy-tailed times", heavy: true,
		fault: func(m *Model) fault { return fault{slow: m.settings.Slow, kind: -1} },
	},
	"errors": {about: "one fails in --errors of its requests", fault: func(m *Model) fault {
		return fault{errors: m.settings.Errors}
	}},
	"fast-errors": {about: "as errors, and the errors come at once", fault: func(m *Model) fault {
		return fault{errors: m.settings.Errors, fast: true}
	}},
	"wrong": {about: "one gives broken answers to --errors of its requests", fault: func(m *Model) fault {
		return fault{wrong: m.settings.Errors}
	}},
	"stuck": {about: "one accepts requests and never answers", fault: func(*Model) fault {
		return fault{stuck: true}
	}},
	"flap": {about: "one is slow by turns, in cycles of 2 s, 10 s or 40 s", fault: func(m *Model) fault {
		period := flapPeriods[m.random.IntN(len(flapPeriods))]
		return fault{slow: m.settings.Slow, kind: -1, period: period}
	}},
	"kind-slow": {about: "one is slow for one request kind only", fault: func(m *Model) fault {
		return fault{slow: m.settings.Slow, kind: slowKind}
	}},
	"link": {
		about: "the way from one ingress node to one owner loses packets", nodes: 3, shared: true,
		fault: func(*Model) fault { return fault{lossy: true, ingress: 0} },
	},
	"zone-link": {
		about: "the way from one ingress node to one availability zone loses packets", nodes: 3, shared: true,
		zone:  true,
		fault: func(*Model) fault { return fault{lossy: true, ingress: 0} },
	},
	"slow-node": {about: "the node beside one backend server is slow", nodes: 3, fault: func(*Model) fault {
		return fault{path: nodeDelay, ingress: -1}
	}},
	"all-slow": {about: "the whole service is --slow times slower for a while", shift: func(m *Model, on bool) {
		m.slowAll = 1
		if on {
			m.slowAll = m.settings.Slow
		}
	}},
	"all-errors": {about: "the whole service fails in --errors of its requests for a while", shift: func(m *Model, on bool) {
		m.errorsAll = 0
		if on {
			m.errorsAll = m.settings.Errors
		}
	}},
	"mix-shift":   {about: "costly request kinds take over for a while", shift: func(m *Model, on bool) { m.shifted = on }},
	"slow-caller": {about: "one caller sends costly requests for a while", shift: func(m *Model, on bool) { m.heavyCaller = on }},
	"cold-start":  {about: "one backend server after the other is replaced and starts cold", shift: (*Model).replace},
	"overload":    {about: "more requests come than the service can serve", shift: (*Model).overload},
	"pause":       {about: "the ingress node is paused for a while", shift: (*Model).pause},
	"log-outage": {
		about:  "as slow, and the log service is down",
		fault:  func(m *Model) fault { return fault{slow: m.settings.Slow, kind: -1} },
		always: func(m *Model) { m.ledger.down = true },
	},
}

// Scenarios returns the names of all scenarios with a description each, sorted.
func Scenarios() []Named {
	var list []Named
	for name, s := range scenarios {
		list = append(list, Named{Name: name, About: s.about})
	}
	slices.SortFunc(list, compareNamed)
	return list
}

// replace swaps a backend server for a new one that starts cold.
func (m *Model) replace(on bool) {
	if !on {
		return
	}
	b := m.backends[m.random.IntN(len(m.backends))]
	m.replaceBackend(b)
}

// overload raises the rate of requests over the capacity.
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

// pause stops the first ingress node.
func (m *Model) pause(on bool) {
	if on {
		m.ingresses[0].paused = m.clock.now + pauseTime
	}
}
