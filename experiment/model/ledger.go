package model

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// ledger is the log with the fold of its records.
type ledger struct {
	model    *Model
	ejected  map[fleet.BackendID]*cowsliptallyv1.Ejection
	accepted []fleet.BackendID
	down     bool
}

// Append folds a record at once, or fails while the log is down.
func (l *ledger) Append(_ context.Context, record *cowsliptallyv1.Record) error {
	if l.down {
		return newError("append", KindLog, "the log service is down")
	}
	if back := record.GetReturn(); back != nil {
		delete(l.ejected, fleet.BackendID(back.GetBackend()))
	}
	if ejection := record.GetEjection(); ejection != nil {
		l.eject(ejection)
	}
	return nil
}

func (l *ledger) eject(ejection *cowsliptallyv1.Ejection) {
	id := fleet.BackendID(ejection.GetBackend())
	if _, found := l.ejected[id]; found {
		return
	}
	left := 0
	for _, b := range l.model.directory {
		if _, out := l.ejected[b.ID]; !out && b.ID != id && b.TakesWork() {
			left += b.Slots
		}
	}
	if left < l.model.service.MinHealthySlots {
		return
	}
	l.ejected[id] = ejection
	l.accepted = append(l.accepted, id)
}

// Ejected returns the ejection of a backend server.
func (l *ledger) Ejected(id fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	ejection, found := l.ejected[id]
	return ejection, found
}

// Backend returns a backend server.
func (l *ledger) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	for _, b := range l.model.directory {
		if b.ID == id {
			return b, true
		}
	}
	return fleet.Backend{}, false
}
