package configfile

import (
	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Diff returns the changes that turn one configuration into another, in an order
// in which each change is valid when it is applied.
func Diff(from, to *cowsliptallyv1.Configuration, mode Mode) []*cowsliptallyv1.Change {
	var changes []*cowsliptallyv1.Change
	changes = append(changes, puts(from.GetServices(), to.GetServices(), (*cowsliptallyv1.Service).GetName, putService)...)
	changes = append(changes, puts(from.GetRoutes(), to.GetRoutes(), (*cowsliptallyv1.Route).GetName, putRoute)...)
	changes = append(changes, puts(from.GetLimits(), to.GetLimits(), (*cowsliptallyv1.Limit).GetOrganisation, putLimit)...)
	changes = append(changes, puts(from.GetOverrides(), to.GetOverrides(), (*cowsliptallyv1.Override).GetBackend, putOverride)...)
	if mode != Prune {
		return changes
	}
	changes = append(changes, deletes(from.GetRoutes(), to.GetRoutes(), (*cowsliptallyv1.Route).GetName, deleteRoute)...)
	changes = append(changes, deletes(from.GetLimits(), to.GetLimits(), (*cowsliptallyv1.Limit).GetOrganisation, deleteLimit)...)
	return append(changes, deletes(from.GetServices(), to.GetServices(), (*cowsliptallyv1.Service).GetName, deleteService)...)
}

func puts[M proto.Message](from, to []M, name func(M) string, put func(M) *cowsliptallyv1.Change) []*cowsliptallyv1.Change {
	existing := byName(from, name)
	var changes []*cowsliptallyv1.Change
	for _, entry := range to {
		if before, found := existing[name(entry)]; found && proto.Equal(before, entry) {
			continue
		}
		changes = append(changes, put(entry))
	}
	return changes
}

func deletes[M proto.Message](from, to []M, name func(M) string, remove func(string) *cowsliptallyv1.Change) []*cowsliptallyv1.Change {
	wanted := byName(to, name)
	var changes []*cowsliptallyv1.Change
	for _, entry := range from {
		if _, found := wanted[name(entry)]; !found {
			changes = append(changes, remove(name(entry)))
		}
	}
	return changes
}

func byName[M proto.Message](entries []M, name func(M) string) map[string]M {
	named := make(map[string]M, len(entries))
	for _, entry := range entries {
		named[name(entry)] = entry
	}
	return named
}

func putService(m *cowsliptallyv1.Service) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: m}}
}

func putRoute(m *cowsliptallyv1.Route) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: m}}
}

func putLimit(m *cowsliptallyv1.Limit) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutLimit{PutLimit: m}}
}

func putOverride(m *cowsliptallyv1.Override) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutOverride{PutOverride: m}}
}

func deleteService(name string) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteService{DeleteService: name}}
}

func deleteRoute(name string) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteRoute{DeleteRoute: name}}
}

func deleteLimit(name string) *cowsliptallyv1.Change {
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteLimit{DeleteLimit: name}}
}
