package model

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/judge"
)

const (
	// tickEvery is the period of the judges, stepEvery that of the ejectors.
	tickEvery = judge.TickEvery
	stepEvery = time.Second
	// ownersNode stands for the owners of all backend servers.
	ownersNode = fleet.NodeID("owners")
	zoneCount  = 3
)

// Model is one run.
type Model struct {
	settings Settings
	scenario scenario
	service  fleet.Service
	// configuration holds the service.
	configuration fleet.Configuration
	random        *rand.Rand
	clock         *clock
	queue         queue
	end           time.Duration

	backends  []*backend
	byID      map[fleet.BackendID]*backend
	directory []fleet.Backend
	named     int
	ingresses []*ingress
	owners    *ingress
	ledger    *ledger
	meter     meter
	cycle     cycle
	stepped   time.Duration
	reporter  func(Report)

	slowAll     float64
	errorsAll   float64
	rateFactor  float64
	shifted     bool
	heavyCaller bool
}

// New returns a run that has not begun.
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
	m.ledger = &ledger{model: m, ejected: map[fleet.BackendID]*ejection{}}
	m.meter = newMeter(m)
	m.build()
	if m.scenario.always != nil {
		m.scenario.always(m)
	}
	return m, nil
}

// Run goes through the whole virtual time and returns the result.
func (m *Model) Run() Result {
	for _, n := range m.ingresses {
		m.queue.push(entry{at: m.gap(), action: actionArrive, ingress: n})
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
		m.cycle.turn()
		m.queue.push(entry{at: m.cycle.next, action: actionScenario})
	}
}

// arrive takes in the next request at an ingress node.
func (m *Model) arrive(e entry) {
	if m.waits(e.ingress) {
		e.at = e.ingress.paused
		m.queue.push(e)
		return
	}
	m.queue.push(entry{at: m.clock.now + m.gap(), action: actionArrive, ingress: e.ingress})
	r := &request{
		ingress:    e.ingress,
		kind:       drawKind(m.random, m.shifted),
		idempotent: m.random.Float64() < idempotentShare,
		heavy:      1,
	}
	if m.heavyCaller && m.random.Float64() < heavyShare {
		r.heavy = heavyFactor
	}
	m.meter.asked++
	m.send(r)
}

// gap returns the time to the next request at one ingress node.
func (m *Model) gap() time.Duration {
	rate := m.settings.Rate * float64(m.settings.Backends) * m.rateFactor / float64(len(m.ingresses))
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// waits reports whether an ingress node is paused.
func (m *Model) waits(n *ingress) bool {
	return m.clock.now < n.paused
}

// tick lets all nodes judge and, each second, testify and propose.
func (m *Model) tick() {
	m.queue.push(entry{at: m.clock.now + tickEvery, action: actionTick})
	step := m.clock.now-m.stepped >= stepEvery
	if step {
		m.stepped = m.clock.now
	}
	for _, n := range m.nodes() {
		if m.waits(n) {
			continue
		}
		for _, event := range n.policy.Tick(m.clock.Now()) {
			m.meter.event(n, event)
			m.report(n, event)
		}
		if step && n.ejector != nil {
			n.ejector.Step(context.Background())
		}
	}
	m.meter.tick()
}

// nodes returns the ingress nodes and, where the policy is ours, the owners.
func (m *Model) nodes() []*ingress {
	if m.owners == nil {
		return m.ingresses
	}
	return append(m.ingresses[:len(m.ingresses):len(m.ingresses)], m.owners)
}

// meanOverMedian returns the ratio of mean to median of log-normal times.
func meanOverMedian(sigma float64) float64 {
	return math.Exp(sigma * sigma / 2)
}
