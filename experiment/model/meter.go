package model

import (
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// fallenShare is the part of a fair share to which it must fall.
	fallenShare = 0.02
	// afterFault is the time after a fault in which verdicts are still due to it.
	afterFault = 5 * time.Second
	// traceTime is the length of the recorded shares.
	traceTime = 15 * time.Minute
)

// pick is one choice of a backend server under a fault.
type pick struct {
	at      time.Duration
	ingress int
}

// meter measures a run.
type meter struct {
	model      *Model
	asked      uint64
	answered   uint64
	broken     uint64
	picks      map[fleet.BackendID][]pick
	fault      fault
	began      time.Duration
	detections []time.Duration
	missed     int
	recoveries []time.Duration
	// set aside while healthy, by the ingress node's own verdict and by agreement.
	degradations int
	ejections    int
	relapses     int
	violations   int
	accepted     int
	faultyTime   time.Duration
	trace        trace
	// watched are the targets of the last fault.
	watched []*backend
}

func newMeter(m *Model) meter {
	return meter{model: m, picks: map[fleet.BackendID][]pick{}, trace: newTrace()}
}

// window returns the time in which a fallen share is at most one request.
func (t *meter) window() time.Duration {
	rate := t.model.settings.Rate
	if t.model.scenario.shared {
		rate /= float64(len(t.model.ingresses))
	}
	return time.Duration(float64(time.Second) / (rate * fallenShare))
}

// pick notes a choice.
func (t *meter) pick(n *ingress, b *backend) {
	if b.fault.on && (b.fault.ingress < 0 || !t.model.scenario.shared || b.fault.ingress == n.number) {
		t.picks[b.entry.ID] = append(t.picks[b.entry.ID], pick{at: t.model.clock.now, ingress: n.number})
	}
	t.trace.pick(t.model.clock.now, slices.Contains(t.watched, b))
}

// begin notes the begin of a fault.
func (t *meter) begin(targets []*backend, f fault) {
	t.fault = f
	t.began = t.model.clock.now
	t.watched = targets
	clear(t.picks)
	for _, b := range targets {
		t.picks[b.entry.ID] = nil
	}
	t.trace.mark(t.began)
}

// finish works out when the share of each target fell.
func (t *meter) finish(targets []*backend) {
	now := t.model.clock.now
	for _, b := range targets {
		t.faultyTime += now - t.began
		detected, found := t.fell(t.picks[b.entry.ID], now)
		if !found {
			t.missed++
			detected = now - t.began
		}
		t.detections = append(t.detections, detected)
	}
	if len(targets) > 0 {
		t.trace.mark(now)
	}
}

// fell returns the time from the begin of the fault until its share stayed
// under fallenShare for a window.
func (t *meter) fell(picks []pick, end time.Duration) (time.Duration, bool) {
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

func (t *meter) recovered(took time.Duration) {
	t.recoveries = append(t.recoveries, took)
}

// event counts verdicts against healthy backend servers.
func (t *meter) event(n *ingress, event fleet.Event) {
	b := t.model.byID[fleet.BackendID(event.Subject)]
	if b == nil || event.Kind != fleet.EventDegradation && event.Kind != fleet.EventEjection {
		return
	}
	if n == t.model.owners || t.guilty(b) {
		return
	}
	if t.onTrial(b) {
		t.relapses++
		return
	}
	t.degradations++
}

// guilty reports whether a backend server has a fault or had one just now.
func (t *meter) guilty(b *backend) bool {
	return b.fault.on || b.faulty > 0 && t.model.clock.now-b.faulty < afterFault
}

// onTrial reports whether a backend server has not had its full share since its fault.
func (t *meter) onTrial(b *backend) bool {
	return slices.Contains(t.model.cycle.targets, b)
}

// tick looks at accepted ejections and the floor.
func (t *meter) tick() {
	accepted := t.model.ledger.accepted
	t.model.ledger.accepted = nil
	for _, id := range accepted {
		t.accepted++
		b := t.model.byID[id]
		if t.model.scenario.shared || !t.guilty(b) && !t.onTrial(b) {
			t.ejections++
		}
	}
	t.checkFloor()
}

// checkFloor counts views in which less capacity is in use than the floor asks for.
func (t *meter) checkFloor() {
	all, union := 0, 0
	used := make([]int, len(t.model.ingresses))
	for i := range t.model.directory {
		backend := &t.model.directory[i]
		if !backend.TakesWork() {
			continue
		}
		all += backend.Slots
		everywhere := true
		for number, n := range t.model.ingresses {
			if n.policy.Health(backend.ID) == fleet.Ejected {
				everywhere = false
				continue
			}
			used[number] += backend.Slots
		}
		if everywhere {
			union += backend.Slots
		}
	}
	floor := min(t.model.service.MinHealthySlots, all)
	for _, slots := range append(used, union) {
		if slots < floor {
			t.violations++
		}
	}
}
