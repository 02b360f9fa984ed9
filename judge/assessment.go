package judge

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// firstHold is the length of a first hold; where requests are rare it lasts for
	// as many as holdRequests at a full share, up to maxFirstHold.
	firstHold    = 10 * time.Second
	holdRequests = 100.0
	maxFirstHold = 2 * time.Minute
	// maxHold bounds the hold of a backend server that was degraded repeatedly.
	maxHold = 5 * time.Minute
	// healthyTime is the time without fault after which the next hold is halved.
	healthyTime = 2 * time.Minute
	// minStageTime is the minimum time of one stage of the probation.
	minStageTime = 3 * time.Second
	// minStageResults is the minimum number of answers in one stage of the probation.
	minStageResults = 3
	// relapseNats is the evidence that ends a probation.
	relapseNats = 6.0
	// CorroborationNats is the minimum evidence of its own with which a node confirms its
	// owner's evidence.
	CorroborationNats = 5.0
	// holdShare is the part of a fair share that a degraded backend server gets.
	holdShare = 0.02
)

// stageShares are the parts of a fair share during probation.
var stageShares = [...]float64{0.1, 0.3, 0.6}

// phase is the phase of an assessment.
type phase uint8

const (
	phaseHealthy phase = iota
	phaseHold
	phaseProbation
)

// assessment is the node's own evaluation of one backend server. A backend server
// that was never degraded or ejected has none.
type assessment struct {
	service fleet.ServiceName
	phase   phase
	// since is the start of the phase or stage.
	since   time.Time
	hold    time.Duration
	stage   int
	results int
	// holds counts the holds since the backend server was last healthy.
	holds int
	// ejected is true while the replicated state holds an ejection.
	ejected  bool
	evidence Evidence
	// own is this node's own evidence while the hold rests on the owner's advice.
	own Evidence
}

// share returns the part of a fair share that the phase allows.
func (t *assessment) share() float64 {
	switch t.phase {
	case phaseHold:
		return holdShare
	case phaseProbation:
		return stageShares[t.stage]
	default:
		return 1
	}
}

// degrade starts a hold; a repeated one lasts twice as long. The rate is in requests
// per second at a full share.
func (t *assessment) degrade(now time.Time, evidence Evidence, rate float64) {
	t.hold = t.nextHold(now, firstHoldLength(rate))
	t.phase = phaseHold
	t.since = now
	t.holds++
	if t.holds > 1 && t.evidence.Cause != CauseAdvised {
		evidence.Nats = max(evidence.Nats, t.evidence.Nats)
	}
	evidence.Holds = t.holds
	t.evidence = evidence
	t.own = Evidence{}
}

// addEvidence records further evidence of this node's own during a hold.
func (t *assessment) addEvidence(evidence Evidence) {
	evidence.Holds = t.holds
	switch {
	case evidence.Nats > t.evidence.Nats:
		t.evidence = evidence
	case evidence.Nats > t.own.Nats:
		t.own = evidence
	}
}

// reportable returns this node's own evidence against the backend server and whether
// it is enough to report to other nodes.
func (t *assessment) reportable() (Evidence, bool) {
	if t.phase != phaseHold {
		return Evidence{}, false
	}
	if t.evidence.Cause != CauseAdvised {
		return t.evidence, true
	}
	return t.own, t.own.Nats >= CorroborationNats
}

// firstHoldLength returns the length of a first hold.
func firstHoldLength(rate float64) time.Duration {
	if rate <= 0 {
		return maxFirstHold
	}
	needed := time.Duration(holdRequests / rate * float64(time.Second))
	return min(max(needed, firstHold), maxFirstHold)
}

// nextHold returns the length of a hold that starts now.
func (t *assessment) nextHold(now time.Time, shortest time.Duration) time.Duration {
	hold := t.hold * 2
	if t.phase == phaseHealthy {
		for healthy := now.Sub(t.since); healthy >= healthyTime && hold > shortest; healthy -= healthyTime {
			hold /= 2
		}
	}
	return min(max(hold, shortest), maxHold)
}

// startProbation starts the probation.
func (t *assessment) startProbation(now time.Time) {
	t.phase = phaseProbation
	t.since = now
	t.stage = 0
	t.results = 0
}

// advanceStage enters the next stage when this one lasted long enough; it returns true
// at the end of the probation.
func (t *assessment) advanceStage(now time.Time) bool {
	if now.Sub(t.since) < minStageTime || t.results < minStageResults {
		return false
	}
	t.since = now
	t.results = 0
	t.stage++
	if t.stage < len(stageShares) {
		return false
	}
	t.phase = phaseHealthy
	t.stage = 0
	t.holds = 0
	return true
}
