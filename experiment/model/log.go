package model

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// log is the log service with the replicated state of its records.
type log struct {
	model   *Model
	ejected map[fleet.BackendID]*cowsliptallyv1.Ejection
	// accepted are the ejections since the last tick of the meter.
	accepted []fleet.BackendID
	down     bool
}

// Append applies a record immediately, or fails while the log is down.
func (l *log) Append(_ context.Context, record *cowsliptallyv1.Record) error {
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

// eject accepts an ejection unless it would violate the floor.
func (l *log) eject(ejection *cowsliptallyv1.Ejection) {
	id := fleet.BackendID(ejection.GetBackend())
	if _, found := l.ejected[id]; found {
		return
	}
	remaining := 0
	for _, b := range l.model.directory {
		if _, out := l.ejected[b.ID]; !out && b.ID != id && b.AcceptsRequests() {
			remaining += b.Slots
		}
	}
	if remaining < l.model.service.MinHealthySlots {
		return
	}
	l.ejected[id] = ejection
	l.accepted = append(l.accepted, id)
}

// Ejected returns the current ejection of a backend server.
func (l *log) Ejected(id fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	ejection, found := l.ejected[id]
	return ejection, found
}

// Backend returns the backend server with an ID.
func (l *log) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	for _, b := range l.model.directory {
		if b.ID == id {
			return b, true
		}
	}
	return fleet.Backend{}, false
}
