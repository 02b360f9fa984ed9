package model

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// detectedShare is the part of a fair share of traffic to which the share of a
	// backend server with a fault must fall for the fault to count as detected.
	detectedShare = 0.02
	// attributionTime is the time after a fault in which degradations and ejections
	// are still attributed to it.
	attributionTime = 5 * time.Second
	// traceLength is the length of the recorded trace.
	traceLength = 15 * time.Minute
)

// pick is one choice of a backend server that has a fault.
type pick struct {
	at      time.Duration
	ingress int
}

// meter collects the measurements of a run.
type meter struct {
	model      *Model
	requests   uint64
	answered   uint64
	picks      map[fleet.BackendID][]pick
	began      time.Duration
	detections []time.Duration
	missed     int
	recoveries []time.Duration
	// degradations and ejections count healthy backend servers that one ingress node
	// degraded or ejected, and that the fleet ejected.
	degradations int
	ejections    int
	relapses     int
	violations   int
	accepted     int
	faultyTime   time.Duration
	trace        trace
	// traced are the targets of the last fault.
	traced []*backend
}

func newMeter(m *Model) meter {
	return meter{model: m, picks: map[fleet.BackendID][]pick{}, trace: newTrace()}
}

// window returns the time in which detectedShare amounts to one request.
func (t *meter) window() time.Duration {
	rate := t.model.settings.Rate
	if t.model.scenario.oneIngress {
		rate /= float64(len(t.model.ingresses))
	}
	return time.Duration(float64(time.Second) / (rate * detectedShare))
}

// recordPick records the choice of a backend server.
func (t *meter) recordPick(n *ingress, b *backend) {
	if b.fault.on && (b.fault.ingress < 0 || !t.model.scenario.oneIngress || b.fault.ingress == n.number) {
		t.picks[b.entry.ID] = append(t.picks[b.entry.ID], pick{at: t.model.clock.now, ingress: n.number})
	}
	t.trace.recordPick(t.model.clock.now, slices.Contains(t.traced, b))
}

// beginFault records the beginning of a fault.
func (t *meter) beginFault(targets []*backend) {
	t.began = t.model.clock.now
	t.traced = targets
	clear(t.picks)
	for _, b := range targets {
		t.picks[b.entry.ID] = nil
	}
	t.trace.recordMark(t.began)
}

// finishFault records the end of a fault and the time until the share of each
// target fell.
func (t *meter) finishFault(targets []*backend) {
	now := t.model.clock.now
	for _, b := range targets {
		t.faultyTime += now - t.began
		detected, found := t.detectionTime(t.picks[b.entry.ID], now)
		if !found {
			t.missed++
			detected = now - t.began
		}
		t.detections = append(t.detections, detected)
	}
	if len(targets) > 0 {
		t.trace.recordMark(now)
	}
}

// detectionTime returns the time from the beginning of the fault until the share
// of its target stayed at or below detectedShare for a window.
func (t *meter) detectionTime(picks []pick, end time.Duration) (time.Duration, bool) {
	window := t.window()
	for i := -1; i < len(picks); i++ {
		from := t.began
		if i >= 0 {
			from = picks[i].at
		}
		if from+window > end {
			return 0, false
		}
		if i+2 >= len(picks) || picks[i+2].at > from+window {
			return from - t.began, true
		}
	}
	return 0, false
}

// addRecovery records the length of a recovery.
func (t *meter) addRecovery(took time.Duration) {
	t.recoveries = append(t.recoveries, took)
}

// recordEvent counts degradations and ejections of healthy backend servers.
func (t *meter) recordEvent(n *ingress, event fleet.Event) {
	b := t.model.byID[fleet.BackendID(event.Subject)]
	if b == nil || event.Kind != fleet.EventDegradation && event.Kind != fleet.EventEjection {
		return
	}
	if n == t.model.owners || t.recentlyFaulty(b) {
		return
	}
	if t.onProbation(b) {
		t.relapses++
		return
	}
	t.degradations++
}

// recentlyFaulty reports whether a backend server has a fault or had one within
// attributionTime.
func (t *meter) recentlyFaulty(b *backend) bool {
	return b.fault.on || b.faultEnd > 0 && t.model.clock.now-b.faultEnd < attributionTime
}

// onProbation reports whether a backend server has not regained its full share
// since its fault.
func (t *meter) onProbation(b *backend) bool {
	return slices.Contains(t.model.cycle.targets, b)
}

// tick counts accepted ejections and violations of the floor.
func (t *meter) tick() {
	accepted := t.model.log.accepted
	t.model.log.accepted = nil
	for _, id := range accepted {
		t.accepted++
		b := t.model.byID[id]
		if t.model.scenario.oneIngress || !t.recentlyFaulty(b) && !t.onProbation(b) {
			t.ejections++
		}
	}
	t.checkFloor()
}

// checkFloor counts a violation for each ingress node that uses less capacity than
// the floor requires, and one if the capacity that all of them use is less.
func (t *meter) checkFloor() {
	all, common := 0, 0
	used := make([]int, len(t.model.ingresses))
	for i := range t.model.directory {
		backend := &t.model.directory[i]
		if !backend.AcceptsRequests() {
			continue
		}
		all += backend.Slots
		usedByAll := true
		for number, n := range t.model.ingresses {
			if n.policy.Health(backend.ID) == fleet.Ejected {
				usedByAll = false
				continue
			}
			used[number] += backend.Slots
		}
		if usedByAll {
			common += backend.Slots
		}
	}
	floor := min(t.model.service.MinHealthySlots, all)
	for _, slots := range append(used, common) {
		if slots < floor {
			t.violations++
		}
	}
}
