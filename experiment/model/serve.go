package model

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// send sends the next attempt of a request to a backend server.
func (m *Model) send(r *request) {
	chosen, found := r.ingress.balancer.Pick(serviceName, m.directory, r.tried, r.idempotent)
	if !found {
		return
	}
	b := m.byID[chosen.ID]
	r.attempts++
	a := &attempt{request: r, backend: b, sentAt: m.clock.now}
	kind := requestKinds[r.kind].name
	r.ingress.balancer.Begin(chosen.ID)
	a.token = r.ingress.policy.StartAttempt(serviceName, chosen.ID, kind)
	m.meter.recordPick(r.ingress, b)
	switch {
	case b.running < m.settings.Slots:
		m.start(a)
	case len(b.queued) < queueLength:
		b.queued = append(b.queued, a)
		m.queue.push(entry{at: a.sentAt + attemptTimeout, action: actionTimeout, attempt: a})
	default:
		a.class = fleet.ClassRefused
		m.queue.push(entry{at: m.clock.now + pathTime, action: actionAnswer, attempt: a})
	}
}

// start runs an attempt in a slot.
func (m *Model) start(a *attempt) {
	b := a.backend
	b.running++
	a.started = true
	now := m.clock.now
	a.class, a.service = m.drawResult(a)
	if b.fault.stuck && b.fault.active(now) {
		a.service = 2 * attemptTimeout
	}
	if now+a.service >= a.sentAt+attemptTimeout {
		m.queue.push(entry{at: a.sentAt + attemptTimeout, action: actionTimeout, attempt: a})
		return
	}
	m.queue.push(entry{at: now + a.service, action: actionServed, attempt: a})
}

// drawResult returns a random result and service time of an attempt.
func (m *Model) drawResult(a *attempt) (fleet.Class, time.Duration) {
	b, r, now := a.backend, a.request, m.clock.now
	duration := drawTime(m.random, r.kind, m.settings.Sigma, m.scenario.heavy)
	duration = time.Duration(float64(duration) * b.slowness(r.kind, now) * m.slowAll * r.costFactor)
	failure := max(m.settings.BaseErrors, m.errorsAll)
	faulty := b.fault.active(now)
	if faulty {
		failure = max(failure, b.fault.errors)
	}
	if m.random.Float64() < failure {
		if faulty && b.fault.fast {
			duration = fastError
		}
		return fleet.ClassError, duration
	}
	if faulty && m.random.Float64() < b.fault.wrong {
		return fleet.ClassBroken, duration
	}
	return fleet.ClassOK, duration
}

// served ends the work of a backend server and schedules the answer.
func (m *Model) served(a *attempt) {
	if a.done {
		return
	}
	m.observeOwner(a, a.class)
	m.release(a)
	delay := pathTime
	fault := &a.backend.fault
	if fault.onPath(a.request.ingress.number, m.clock.now) {
		delay += fault.pathDelay
		if fault.lossy && m.random.Float64() < lossShare {
			delay += lossDelay
		}
	}
	m.queue.push(entry{at: m.clock.now + delay, action: actionAnswer, attempt: a})
}

// release frees the slot of an attempt and starts the next queued one, or removes
// the attempt from the queue if it has not started.
func (m *Model) release(a *attempt) {
	b := a.backend
	if !a.started {
		for i, other := range b.queued {
			if other == a {
				b.queued = append(b.queued[:i], b.queued[i+1:]...)
				break
			}
		}
		return
	}
	b.running--
	a.started = false
	if len(b.queued) == 0 {
		return
	}
	next := b.queued[0]
	b.queued = b.queued[1:]
	m.start(next)
}

// answer delivers the result to the ingress node.
func (m *Model) answer(a *attempt) {
	if a.done {
		return
	}
	n := a.request.ingress
	if m.isPaused(n) {
		m.queue.push(entry{at: n.pausedUntil, action: actionAnswer, attempt: a})
		return
	}
	n.balancer.Report(fleet.Load{
		Backend: a.backend.entry.ID, InFlight: a.backend.running, Queued: len(a.backend.queued),
		Slots: m.settings.Slots, At: m.clock.Now(),
	})
	m.finish(a, a.class)
}

// timeout ends an attempt at its time limit.
func (m *Model) timeout(a *attempt) {
	if a.done {
		return
	}
	n := a.request.ingress
	if m.isPaused(n) {
		m.queue.push(entry{at: n.pausedUntil, action: actionTimeout, attempt: a})
		return
	}
	class := fleet.ClassTimeout
	if !a.started {
		class = fleet.ClassRefused
	}
	if a.started {
		m.observeOwner(a, class)
	}
	m.release(a)
	m.finish(a, class)
}

// finish reports the result to the ingress node's policy and retries the request if
// that is allowed.
func (m *Model) finish(a *attempt, class fleet.Class) {
	a.done = true
	r := a.request
	id := a.backend.entry.ID
	s := m.sample(a, class)
	s.PathTime = m.clock.now - a.sentAt
	if class == fleet.ClassTimeout {
		s.ServiceTime = 0
	}
	if class == fleet.ClassOK || class == fleet.ClassRefused {
		r.ingress.balancer.End(id)
	} else {
		r.ingress.balancer.Fail(id)
	}
	r.ingress.policy.EndAttempt(a.token)
	r.ingress.policy.Observe(s)
	if class == fleet.ClassOK {
		m.meter.answered++
		return
	}
	if r.attempts < maxAttempts && (r.idempotent || class == fleet.ClassRefused) {
		r.tried = append(r.tried, id)
		m.send(r)
	}
}

// observeOwner reports the result to the owners' evaluator.
func (m *Model) observeOwner(a *attempt, class fleet.Class) {
	if m.owners != nil {
		m.owners.policy.Observe(m.sample(a, class))
	}
}

// sample returns the result of an attempt as the owner measures it.
func (m *Model) sample(a *attempt, class fleet.Class) fleet.Sample {
	return fleet.Sample{
		At:          m.clock.Now(),
		Service:     serviceName,
		Backend:     a.backend.entry.ID,
		Kind:        requestKinds[a.request.kind].name,
		Class:       class,
		ServiceTime: a.service,
	}
}
