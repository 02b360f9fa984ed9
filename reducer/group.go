package reducer

import (
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

// group holds the joined backend servers of one service.
type group struct {
	service fleet.ServiceName
	// members is sorted.
	members []fleet.BackendID
	// slots is the number of slots of all members, healthy that of the members
	// in rotation.
	slots   int
	healthy int
	// ejected is the number of ejected members.
	ejected int
}

// Key returns the name of the service.
func (g group) Key() fleet.ServiceName { return g.service }

func (g group) withMember(id fleet.BackendID) group {
	position, found := slices.BinarySearch(g.members, id)
	if !found {
		g.members = slices.Insert(slices.Clone(g.members), position, id)
	}
	return g
}

func (g group) withoutMember(id fleet.BackendID) group {
	position, found := slices.BinarySearch(g.members, id)
	if found {
		g.members = slices.Delete(slices.Clone(g.members), position, position+1)
	}
	return g
}
