package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Minute
	// faultTime is the least length of a fault or shift.
	faultTime = time.Minute
	// leastQuiet and moreQuiet are the time between recovery and the next fault.
	leastQuiet = 30 * time.Second
	moreQuiet  = 60 * time.Second
	// mostRecovery bounds the wait for recovery.
	mostRecovery = 15 * time.Minute
	// poll is the period at which recovery is looked for.
	poll = 500 * time.Millisecond
)

// stage is where a cycle stands.
type stage uint8

const (
	stageQuiet stage = iota
	stageOn
	stageRecovery
)

// cycle turns the scenario's fault or shift on and off.
type cycle struct {
	model   *Model
	stage   stage
	next    time.Duration
	targets []*backend
	began   time.Duration
	ended   time.Duration
}

func newCycle(m *Model) cycle {
	return cycle{model: m, next: warmUp + time.Duration(m.random.Float64()*float64(moreQuiet))}
}

// turn goes to the next stage.
func (c *cycle) turn() {
	now := c.model.clock.now
	switch c.stage {
	case stageQuiet:
		c.begin(now)
	case stageOn:
		c.finish(now)
	case stageRecovery:
		c.recover(now)
	}
}

func (c *cycle) begin(now time.Duration) {
	m := c.model
	c.stage = stageOn
	c.began = now
	c.next = now + c.length()
	if m.scenario.shift != nil {
		m.scenario.shift(m, true)
	}
	if m.scenario.fault == nil {
		return
	}
	f := m.scenario.fault(m)
	f.on = true
	f.since = now
	c.targets = c.choose()
	for _, b := range c.targets {
		b.fault = f
	}
	m.meter.begin(c.targets, f)
}

// length returns how long the fault lasts: long enough to see the share fall.
func (c *cycle) length() time.Duration {
	return max(faultTime, 4*c.model.meter.window())
}

// choose draws one backend server, or an availability zone's.
func (c *cycle) choose() []*backend {
	m := c.model
	drawn := m.backends[m.random.IntN(len(m.backends))]
	if !m.scenario.zone {
		return []*backend{drawn}
	}
	var list []*backend
	for _, b := range m.backends {
		if b.entry.Zone == drawn.entry.Zone {
			list = append(list, b)
		}
	}
	return list
}

func (c *cycle) finish(now time.Duration) {
	m := c.model
	c.ended = now
	if m.scenario.shift != nil {
		m.scenario.shift(m, false)
	}
	m.meter.finish(c.targets)
	for _, b := range c.targets {
		b.fault = fault{}
		b.faulty = now
	}
	c.stage = stageRecovery
	c.next = now + poll
}

// recover waits until all targets have their full share.
func (c *cycle) recover(now time.Duration) {
	m := c.model
	for _, b := range m.backends {
		if b.entry.State == fleet.BackendStarting && now-b.born >= startTime {
			b.entry.State = fleet.BackendReady
			m.publish()
		}
	}
	if !c.recovered() && now-c.ended < mostRecovery {
		c.next = now + poll
		return
	}
	if len(c.targets) > 0 {
		m.meter.recovered(now - c.ended)
	}
	c.targets = nil
	c.stage = stageQuiet
	c.next = now + leastQuiet + time.Duration(m.random.Float64()*float64(moreQuiet))
}

func (c *cycle) recovered() bool {
	for _, b := range c.targets {
		for _, n := range c.model.ingresses {
			if n.policy.Share(b.entry.ID) < 1 {
				return false
			}
		}
	}
	return true
}
