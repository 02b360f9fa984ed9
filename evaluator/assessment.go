package evaluator

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
	// relapseNats is the evidence that ends a probation by a relapse.
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
func (a *assessment) share() float64 {
	switch a.phase {
	case phaseHold:
		return holdShare
	case phaseProbation:
		return stageShares[a.stage]
	default:
		return 1
	}
}

// degrade starts a hold; a repeated one lasts twice as long. The rate is in requests
// per second at a full share.
func (a *assessment) degrade(now time.Time, evidence Evidence, rate float64) {
	a.hold = a.nextHold(now, firstHoldLength(rate))
	a.phase = phaseHold
	a.since = now
	a.holds++
	if a.holds > 1 && a.evidence.Cause != CauseAdvised {
		evidence.LLR = max(evidence.LLR, a.evidence.LLR)
	}
	evidence.Holds = a.holds
	a.evidence = evidence
	a.own = Evidence{}
}

// addEvidence records further evidence of this node's own during a hold.
func (a *assessment) addEvidence(evidence Evidence) {
	evidence.Holds = a.holds
	switch {
	case evidence.LLR > a.evidence.LLR:
		a.evidence = evidence
	case evidence.LLR > a.own.LLR:
		a.own = evidence
	}
}

// reportable returns this node's own evidence against the backend server and whether
// it is enough to report to other nodes.
func (a *assessment) reportable() (Evidence, bool) {
	if a.phase != phaseHold {
		return Evidence{}, false
	}
	if a.evidence.Cause != CauseAdvised {
		return a.evidence, true
	}
	return a.own, a.own.LLR >= CorroborationNats
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
func (a *assessment) nextHold(now time.Time, shortest time.Duration) time.Duration {
	hold := a.hold * 2
	if a.phase == phaseHealthy {
		for healthy := now.Sub(a.since); healthy >= healthyTime && hold > shortest; healthy -= healthyTime {
			hold /= 2
		}
	}
	return min(max(hold, shortest), maxHold)
}

// startProbation starts the probation.
func (a *assessment) startProbation(now time.Time) {
	a.phase = phaseProbation
	a.since = now
	a.stage = 0
	a.results = 0
}

// advanceStage enters the next stage when this one lasted long enough; it returns true
// at the end of the probation.
func (a *assessment) advanceStage(now time.Time) bool {
	if now.Sub(a.since) < minStageTime || a.results < minStageResults {
		return false
	}
	a.since = now
	a.results = 0
	a.stage++
	if a.stage < len(stageShares) {
		return false
	}
	a.phase = phaseHealthy
	a.stage = 0
	a.holds = 0
	return true
}
