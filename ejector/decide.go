package ejector

import (
	"slices"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// reasonTimeOver is the reason of a return after the ejection time has passed.
const reasonTimeOver = "ejection-time-over"

// decide returns the records that this node must append now.
func (e *Ejector) decide(now time.Time) []*cowsliptallyv1.Record {
	own := e.evaluator.Evidence()
	for _, evidence := range own {
		e.addEvidence(e.message(evidence), now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	records := e.decideReturns(now)
	for id, set := range e.evidenceSets {
		set.drop(now)
		if len(set) == 0 {
			delete(e.evidenceSets, id)
		}
	}
	for _, evidence := range own {
		if record := e.decideEjection(evidence, now); record != nil {
			records = append(records, record)
		}
	}
	return records
}

// decideEjection returns an ejection record when the evidence is sufficient and
// this node is the one that proposes it, and nil otherwise.
func (e *Ejector) decideEjection(evidence evaluator.Evidence, now time.Time) *cowsliptallyv1.Record {
	id := evidence.Backend
	h := e.history(id)
	backend, joined := e.state.Backend(id)
	_, ejected := e.state.Ejected(id)
	set := e.evidenceSets[id]
	if !joined || ejected || evidence.Holds < minHolds || !set.sufficient(backend.Owner, evidence.Threshold) {
		h.sufficientSince = time.Time{}
		return nil
	}
	if h.sufficientSince.IsZero() {
		h.sufficientSince = now
	}
	if !e.mayDecide(id, backend.Owner, now.Sub(h.sufficientSince)) {
		return nil
	}
	if !h.mayPropose(now) {
		return nil
	}
	h.proposed = now
	best := set.strongest()
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Ejection{Ejection: &cowsliptallyv1.Ejection{
		Backend:   string(id),
		Service:   string(backend.Service),
		Node:      string(e.node),
		Reason:    best.reason,
		Figures:   best.figures,
		Witnesses: set.reportingNodes(),
	}}}
}

// mayDecide reports whether this node proposes: the owner at once, the backup node
// when the owner has not proposed for backupDelay, and no other node.
func (e *Ejector) mayDecide(id fleet.BackendID, owner fleet.NodeID, waited time.Duration) bool {
	if owner == e.node {
		return true
	}
	return waited >= backupDelay && e.backupNode(id, owner) == e.node
}

// decideReturns returns the return records for ejections of this VM's backend
// servers that are over, and for those of other backend servers that their owner
// did not end in time.
func (e *Ejector) decideReturns(now time.Time) []*cowsliptallyv1.Record {
	var records []*cowsliptallyv1.Record
	for _, id := range e.watched() {
		h := e.history(id)
		backend, _ := e.state.Backend(id)
		if _, ejected := e.state.Ejected(id); !ejected {
			h.recordReturn(now)
			continue
		}
		h.recordEjection(now)
		extra := time.Duration(0)
		if backend.Owner != e.node {
			extra = firstEjection
		}
		if !h.isOver(now, extra) || !h.mayPropose(now) {
			continue
		}
		h.proposed = now
		records = append(records, &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Return{
			Return: &cowsliptallyv1.Return{Backend: string(id), Node: string(e.node), Reason: reasonTimeOver},
		}})
	}
	return records
}

// watched returns the backend servers of this VM and those for which this node has
// an ejection history, sorted.
func (e *Ejector) watched() []fleet.BackendID {
	var ids []fleet.BackendID
	for _, backend := range e.local.Local() {
		ids = append(ids, backend.ID)
		e.history(backend.ID)
	}
	for id := range e.histories {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
