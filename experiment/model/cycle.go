package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Minute
	// minFaultTime is the minimum length of a fault or shift.
	minFaultTime = time.Minute
	// The time between a recovery and the next fault is minQuiet plus a random part
	// of quietSpread.
	minQuiet    = 30 * time.Second
	quietSpread = 60 * time.Second
	// maxRecovery limits the wait for recovery.
	maxRecovery = 15 * time.Minute
	// recoveryPoll is the period at which recovery is checked.
	recoveryPoll = 500 * time.Millisecond
)

// stage is the current stage of a cycle.
type stage uint8

const (
	stageQuiet stage = iota
	stageOn
	stageRecovery
)

// cycle turns the scenario's fault or shift on and off, repeatedly.
type cycle struct {
	model *Model
	stage stage
	// next is the time of the next call of advance.
	next    time.Duration
	targets []*backend
	began   time.Duration
	ended   time.Duration
}

func newCycle(m *Model) cycle {
	return cycle{model: m, next: warmUp + time.Duration(m.random.Float64()*float64(quietSpread))}
}

// advance performs the action that is due in the current stage.
func (c *cycle) advance() {
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

// begin starts the fault or shift.
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
	c.targets = c.chooseTargets()
	for _, b := range c.targets {
		b.fault = f
	}
	m.meter.beginFault(c.targets)
}

// length returns the duration of the fault: long enough to observe that the share
// of traffic falls.
func (c *cycle) length() time.Duration {
	return max(minFaultTime, 4*c.model.meter.window())
}

// chooseTargets draws one backend server, or all those of one availability zone.
func (c *cycle) chooseTargets() []*backend {
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

// finish ends the fault or shift.
func (c *cycle) finish(now time.Duration) {
	m := c.model
	c.ended = now
	if m.scenario.shift != nil {
		m.scenario.shift(m, false)
	}
	m.meter.finishFault(c.targets)
	for _, b := range c.targets {
		b.fault = fault{}
		b.faultEnd = now
	}
	c.stage = stageRecovery
	c.next = now + recoveryPoll
}

// recover waits, up to maxRecovery, until all targets have their full share. It
// also makes replaced backend servers ready after startingTime.
func (c *cycle) recover(now time.Duration) {
	m := c.model
	for _, b := range m.backends {
		if b.entry.State == fleet.BackendStarting && now-b.coldStart >= startingTime {
			b.entry.State = fleet.BackendReady
			m.publish()
		}
	}
	if !c.recovered() && now-c.ended < maxRecovery {
		c.next = now + recoveryPoll
		return
	}
	if len(c.targets) > 0 {
		m.meter.addRecovery(now - c.ended)
	}
	c.targets = nil
	c.stage = stageQuiet
	c.next = now + minQuiet + time.Duration(m.random.Float64()*float64(quietSpread))
}

// recovered reports whether all ingress nodes give all targets their full share.
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
