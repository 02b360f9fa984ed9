// Package floorkeeper keeps the capacity that a node uses at or above the floor
// that the operator set, by readmitting ejected backend servers.
package floorkeeper

import (
	"cmp"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

// Floorkeeper chooses the ejected backend servers that a node readmits. The
// zero value is ready; it is safe for concurrent use.
type Floorkeeper struct{}

// Readmit returns the ejected backend servers to use despite their
// ejection, best first, so that those in use have at least minSlots slots, or all
// of them where even that is not enough. Candidates that take no work are ignored.
func (Floorkeeper) Readmit(minSlots int, candidates []Candidate) []fleet.BackendID {
	missing := minSlots
	var ejected []Candidate
	for _, c := range candidates {
		switch {
		case !c.AcceptsRequests || c.Barred:
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

// better orders by evidence, lowest first, then by name, so that all nodes with
// the same evidence make the same choice.
func better(a, b Candidate) int {
	if order := cmp.Compare(a.LLR, b.LLR); order != 0 {
		return order
	}
	return cmp.Compare(a.Backend, b.Backend)
}
