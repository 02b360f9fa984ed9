package model

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// tickEvery is the period of the health evaluation, stepEvery that of the ejectors.
	tickEvery = evaluator.TickEvery
	stepEvery = time.Second
	// ownersNode is the node that stands for the owners of all backend servers.
	ownersNode = fleet.NodeID("owners")
	zoneCount  = 3
)

// Model is one simulated run.
type Model struct {
	settings Settings
	scenario scenario
	service  fleet.Service
	// configuration is the fleet configuration that contains service.
	configuration fleet.Configuration
	random        *rand.Rand
	clock         *clock
	queue         queue
	end           time.Duration

	backends  []*backend
	byID      map[fleet.BackendID]*backend
	directory []fleet.Backend
	// created is the number of backend servers created, which numbers their names.
	created   int
	ingresses []*ingress
	// owners is nil for baseline policies.
	owners   *ingress
	log      *log
	meter    meter
	cycle    cycle
	lastStep time.Duration
	reporter func(Report)

	// slowAll is a factor on all service times, errorsAll the minimum share of failed
	// requests, rateFactor a factor on the request rate.
	slowAll    float64
	errorsAll  float64
	rateFactor float64
	// shifted means that the mix of request kinds has shifted to costly ones,
	// costlyCaller that one caller sends costly requests.
	shifted      bool
	costlyCaller bool
}

// New returns a run that has not started.
func New(settings Settings) (*Model, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	m := &Model{
		settings:   settings,
		scenario:   scenarios[settings.Scenario],
		service:    settings.service(),
		random:     rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x5eed)),
		clock:      &clock{},
		end:        settings.length(),
		byID:       map[fleet.BackendID]*backend{},
		slowAll:    1,
		rateFactor: 1,
	}
	m.configuration = fleet.Configuration{}.WithService(m.service)
	m.log = &log{model: m, ejected: map[fleet.BackendID]*ejection{}}
	m.meter = newMeter(m)
	m.build()
	if m.scenario.setup != nil {
		m.scenario.setup(m)
	}
	return m, nil
}

// Run simulates the whole virtual time and returns the result.
func (m *Model) Run() Result {
	for _, n := range m.ingresses {
		m.queue.push(entry{at: m.interarrivalTime(), action: actionArrive, ingress: n})
	}
	m.queue.push(entry{at: tickEvery, action: actionTick})
	m.cycle = newCycle(m)
	m.queue.push(entry{at: m.cycle.next, action: actionScenario})
	for {
		e := m.queue.pop()
		if e.at > m.end {
			m.clock.now = m.end
			return m.meter.result()
		}
		m.clock.now = e.at
		m.handle(e)
	}
}

func (m *Model) handle(e entry) {
	switch e.action {
	case actionArrive:
		m.arrive(e)
	case actionServed:
		m.served(e.attempt)
	case actionAnswer:
		m.answer(e.attempt)
	case actionTimeout:
		m.timeout(e.attempt)
	case actionTick:
		m.tick()
	case actionScenario:
		m.cycle.advance()
		m.queue.push(entry{at: m.cycle.next, action: actionScenario})
	}
}

// arrive handles the arrival of a request at an ingress node and schedules the next
// one.
func (m *Model) arrive(e entry) {
	if m.isPaused(e.ingress) {
		e.at = e.ingress.pausedUntil
		m.queue.push(e)
		return
	}
	m.queue.push(entry{at: m.clock.now + m.interarrivalTime(), action: actionArrive, ingress: e.ingress})
	r := &request{
		ingress:    e.ingress,
		kind:       drawKind(m.random, m.shifted),
		idempotent: m.random.Float64() < idempotentShare,
		costFactor: 1,
	}
	if m.costlyCaller && m.random.Float64() < costlyShare {
		r.costFactor = costlyFactor
	}
	m.meter.requests++
	m.send(r)
}

// interarrivalTime returns a random time to the next request at one ingress node.
func (m *Model) interarrivalTime() time.Duration {
	rate := m.settings.Rate * float64(m.settings.Backends) * m.rateFactor / float64(len(m.ingresses))
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// isPaused reports whether an ingress node is paused.
func (m *Model) isPaused(n *ingress) bool {
	return m.clock.now < n.pausedUntil
}

// tick runs the health evaluation of all nodes and, each stepEvery, their ejectors.
func (m *Model) tick() {
	m.queue.push(entry{at: m.clock.now + tickEvery, action: actionTick})
	step := m.clock.now-m.lastStep >= stepEvery
	if step {
		m.lastStep = m.clock.now
	}
	for _, n := range m.nodes() {
		if m.isPaused(n) {
			continue
		}
		for _, event := range n.policy.Tick(m.clock.Now()) {
			m.meter.recordEvent(n, event)
			m.report(n, event)
		}
		if step && n.ejector != nil {
			n.ejector.ReportAndDecide(context.Background())
		}
	}
	m.meter.tick()
}

// nodes returns the ingress nodes and, unless the policy is a baseline, the owners.
func (m *Model) nodes() []*ingress {
	if m.owners == nil {
		return m.ingresses
	}
	return append(m.ingresses[:len(m.ingresses):len(m.ingresses)], m.owners)
}

// meanOverMedian returns the ratio of the mean to the median of log-normal times.
func meanOverMedian(sigma float64) float64 {
	return math.Exp(sigma * sigma / 2)
}
