package ejector

import (
	"slices"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
)

// reasonServed is the reason of a return after the length of the ejection.
const reasonServed = "ejection-time-over"

// decide returns the records that this node should append now.
func (e *Ejector) decide(now time.Time) []*cowsliptallyv1.Record {
	own := e.judge.Evidence()
	for _, evidence := range own {
		e.take(e.message(evidence), now)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	records := e.decideReturns(now)
	for id, d := range e.dossiers {
		d.drop(now)
		if len(d) == 0 {
			delete(e.dossiers, id)
		}
	}
	for _, evidence := range own {
		if record := e.decideEjection(evidence, now); record != nil {
			records = append(records, record)
		}
	}
	return records
}

// decideEjection returns an ejection when the testimony is enough, to the
// node that has to propose it.
func (e *Ejector) decideEjection(evidence judge.Evidence, now time.Time) *cowsliptallyv1.Record {
	id := evidence.Backend
	s := e.sentence(id)
	backend, joined := e.fold.Backend(id)
	_, ejected := e.fold.Ejected(id)
	d := e.dossiers[id]
	if !joined || ejected || evidence.Holds < leastHolds || !d.guilty(backend.Owner, evidence.Threshold) {
		s.guilty = time.Time{}
		return nil
	}
	if s.guilty.IsZero() {
		s.guilty = now
	}
	if !e.mayDecide(id, backend.Owner, now.Sub(s.guilty)) {
		return nil
	}
	if !s.mayPropose(now) {
		return nil
	}
	s.proposed = now
	best := d.strongest()
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Ejection{Ejection: &cowsliptallyv1.Ejection{
		Backend:   string(id),
		Service:   string(backend.Service),
		Node:      string(e.node),
		Reason:    best.reason,
		Figures:   best.figures,
		Witnesses: d.witnesses(),
	}}}
}

// mayDecide reports whether this node proposes: the owner at once, its deputy when
// the owner was silent for a while, nobody else.
func (e *Ejector) mayDecide(id fleet.BackendID, owner fleet.NodeID, waited time.Duration) bool {
	if owner == e.node {
		return true
	}
	return waited >= deputyDelay && e.deputy(id, owner) == e.node
}

// decideReturns returns the ejections of this VM's backend servers that are
// over, and those of others that their owner left standing.
func (e *Ejector) decideReturns(now time.Time) []*cowsliptallyv1.Record {
	var records []*cowsliptallyv1.Record
	for _, id := range e.watched() {
		s := e.sentence(id)
		backend, _ := e.fold.Backend(id)
		if _, ejected := e.fold.Ejected(id); !ejected {
			s.end(now)
			continue
		}
		s.begin(now)
		extra := time.Duration(0)
		if backend.Owner != e.node {
			extra = firstEjection
		}
		if !s.served(now, extra) || !s.mayPropose(now) {
			continue
		}
		s.proposed = now
		records = append(records, &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Return{
			Return: &cowsliptallyv1.Return{Backend: string(id), Node: string(e.node), Reason: reasonServed},
		}})
	}
	return records
}

// watched returns the backend servers of this VM and those that this node
// testified against, sorted.
func (e *Ejector) watched() []fleet.BackendID {
	var ids []fleet.BackendID
	for _, backend := range e.local.Local() {
		ids = append(ids, backend.ID)
		e.sentence(backend.ID)
	}
	for id := range e.sentences {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.BackendID) int { return strings.Compare(string(a), string(b)) })
	return ids
}
