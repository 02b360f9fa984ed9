package reducer

import (
	"cmp"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// ejection is an accepted ejection.
type ejection struct {
	offset uint64
	record *cowsliptallyv1.Ejection
}

// Key returns the identifier of the ejected backend server.
func (e ejection) Key() fleet.BackendID { return fleet.BackendID(e.record.GetBackend()) }

// compareEjections orders ejections from the oldest to the newest.
func compareEjections(a, b ejection) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.Key(), b.Key()))
}
