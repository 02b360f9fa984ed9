// Package floorkeeper keeps the healthy capacity that a node uses at the
// floor that the operator set, whatever was ejected.
package floorkeeper

import (
	"cmp"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

// Floorkeeper chooses the ejected backend servers that a node takes back. The
// zero value is ready; it is safe for concurrent use.
type Floorkeeper struct{}

// Readmit returns the ejected backend servers to use in spite of their
// ejection, best first, so that those in use hold at least minSlots slots, or
// all of them where even that is too little. Candidates that take no work count
// for nothing.
func (Floorkeeper) Readmit(minSlots int, candidates []Candidate) []fleet.BackendID {
	missing := minSlots
	var ejected []Candidate
	for _, c := range candidates {
		switch {
		case !c.TakesWork || c.Barred:
		case c.Ejected:
			ejected = append(ejected, c)
		default:
			missing -= c.Slots
		}
	}
	if missing <= 0 || len(ejected) == 0 {
		return nil
	}
	slices.SortFunc(ejected, better)
	var readmitted []fleet.BackendID
	for _, c := range ejected {
		if missing <= 0 {
			break
		}
		readmitted = append(readmitted, c.Backend)
		missing -= c.Slots
	}
	return readmitted
}

// better orders by evidence, least first, then by name, so that all nodes with
// the same evidence choose alike.
func better(a, b Candidate) int {
	if order := cmp.Compare(a.Nats, b.Nats); order != 0 {
		return order
	}
	return cmp.Compare(a.Backend, b.Backend)
}
