package judge

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// firstHold is how long a backend server gets only a trickle at first; where
	// requests are rare it lasts for as many as holdRequests at a full share.
	firstHold    = 10 * time.Second
	holdRequests = 100.0
	mostFirst    = 2 * time.Minute
	// longestHold bounds the hold of one that was degraded again and again.
	longestHold = 5 * time.Minute
	// goodTime is the time without fault after which the next hold is halved.
	goodTime = 2 * time.Minute
	// stageTime is the least time of one stage of the probation.
	stageTime = 3 * time.Second
	// stageResults is the least number of answers in one stage of the probation.
	stageResults = 3
	// relapseNats is the evidence that ends a probation.
	relapseNats = 6.0
	// CorroborationNats is the least evidence of its own with which a node backs an owner's verdict.
	CorroborationNats = 5.0
	// trickleShare is the part of a fair share that a degraded backend server gets.
	trickleShare = 0.02
)

// stageShares are the parts of a fair share during probation.
var stageShares = [...]float64{0.1, 0.3, 0.6}

// phase is the place of a trial.
type phase uint8

const (
	phaseTrusted phase = iota
	phaseHeld
	phaseProbation
)

// trial is the node's own case against one backend server. One that was never
// doubted has none.
type trial struct {
	service fleet.ServiceName
	phase   phase
	// since is the begin of the phase or stage.
	since   time.Time
	hold    time.Duration
	stage   int
	results int
	// holds counts the holds since the backend server was last trusted.
	holds int
	// ejected is true while the fold holds an ejection.
	ejected  bool
	evidence Evidence
	// own is what this node itself saw of one that it avoids on its owner's advice.
	own Evidence
}

// share returns the part of a fair share that the phase allows.
func (t *trial) share() float64 {
	switch t.phase {
	case phaseHeld:
		return trickleShare
	case phaseProbation:
		return stageShares[t.stage]
	default:
		return 1
	}
}

// degrade begins a hold; a repeated one lasts twice as long. Rate is that of the
// requests at a full share, per second.
func (t *trial) degrade(now time.Time, evidence Evidence, rate float64) {
	t.hold = t.nextHold(now, shortestHold(rate))
	t.phase = phaseHeld
	t.since = now
	t.holds++
	if t.holds > 1 && t.evidence.Cause != CauseAdvised {
		evidence.Nats = max(evidence.Nats, t.evidence.Nats)
	}
	evidence.Holds = t.holds
	t.evidence = evidence
	t.own = Evidence{}
}

// hear takes in more evidence of this node's own during a hold.
func (t *trial) hear(evidence Evidence) {
	evidence.Holds = t.holds
	switch {
	case evidence.Nats > t.evidence.Nats:
		t.evidence = evidence
	case evidence.Nats > t.own.Nats:
		t.own = evidence
	}
}

// testimony returns what this node holds against the backend server of its own,
// and whether that is worth telling others.
func (t *trial) testimony() (Evidence, bool) {
	if t.phase != phaseHeld {
		return Evidence{}, false
	}
	if t.evidence.Cause != CauseAdvised {
		return t.evidence, true
	}
	return t.own, t.own.Nats >= CorroborationNats
}

// shortestHold returns the length of a first hold.
func shortestHold(rate float64) time.Duration {
	if rate <= 0 {
		return mostFirst
	}
	needed := time.Duration(holdRequests / rate * float64(time.Second))
	return min(max(needed, firstHold), mostFirst)
}

// nextHold returns the length of a hold that begins now.
func (t *trial) nextHold(now time.Time, shortest time.Duration) time.Duration {
	hold := t.hold * 2
	if t.phase == phaseTrusted {
		for good := now.Sub(t.since); good >= goodTime && hold > shortest; good -= goodTime {
			hold /= 2
		}
	}
	return min(max(hold, shortest), longestHold)
}

// probe begins the probation.
func (t *trial) probe(now time.Time) {
	t.phase = phaseProbation
	t.since = now
	t.stage = 0
	t.results = 0
}

// advance goes to the next stage when this one lasted long enough; it returns
// true at the end of the probation.
func (t *trial) advance(now time.Time) bool {
	if now.Sub(t.since) < stageTime || t.results < stageResults {
		return false
	}
	t.since = now
	t.results = 0
	t.stage++
	if t.stage < len(stageShares) {
		return false
	}
	t.phase = phaseTrusted
	t.stage = 0
	t.holds = 0
	return true
}
