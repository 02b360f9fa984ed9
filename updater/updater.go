package updater

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// MaxChanges is the largest number of changes in one proposal.
	MaxChanges = 10_000
	// maxSummaryLines is the largest number of changes that a summary lists.
	maxSummaryLines = 10
)

// Updater validates and applies changes.
type Updater struct {
	backends Backends
}

// New returns an Updater that validates changes against the registered backend servers.
func New(backends Backends) *Updater {
	return &Updater{backends: backends}
}

// Update returns the configuration with all changes applied, and a summary of one line
// for each of the first changes. If a change is refused, it returns the configuration
// unchanged and an *Error. The revision stays the same.
func (u *Updater) Update(c fleet.Configuration, changes []*cowsliptallyv1.Change) (fleet.Configuration, []string, error) {
	if len(changes) == 0 {
		return c, nil, refuse("edit", KindEmpty, "the proposal has no changes")
	}
	if len(changes) > MaxChanges {
		return c, nil, refuse("edit", KindTooMany, "the proposal has %d changes, at most %d are allowed", len(changes), MaxChanges)
	}
	var summary []string
	edited := c
	for i, change := range changes {
		next, line, err := u.edit(edited, change)
		if err != nil {
			return c, nil, err
		}
		edited = next
		if i < maxSummaryLines {
			summary = append(summary, line)
		}
	}
	if err := u.checkDeletedServices(edited, changes); err != nil {
		return c, nil, err
	}
	if more := len(changes) - maxSummaryLines; more > 0 {
		summary = append(summary, fmt.Sprintf("and %d more", more))
	}
	return edited, summary, nil
}

func (u *Updater) edit(c fleet.Configuration, change *cowsliptallyv1.Change) (fleet.Configuration, string, error) {
	switch edit := change.GetEdit().(type) {
	case *cowsliptallyv1.Change_PutService:
		return u.putService(c, translator.ServiceFromMessage(edit.PutService))
	case *cowsliptallyv1.Change_DeleteService:
		return deleteService(c, fleet.ServiceName(edit.DeleteService))
	case *cowsliptallyv1.Change_PutRoute:
		return putRoute(c, translator.RouteFromMessage(edit.PutRoute))
	case *cowsliptallyv1.Change_DeleteRoute:
		return deleteRoute(c, edit.DeleteRoute)
	case *cowsliptallyv1.Change_PutLimit:
		return putLimit(c, translator.LimitFromMessage(edit.PutLimit))
	case *cowsliptallyv1.Change_DeleteLimit:
		return deleteLimit(c, fleet.Organisation(edit.DeleteLimit))
	case *cowsliptallyv1.Change_PutOverride:
		return u.putOverride(c, translator.OverrideFromMessage(edit.PutOverride))
	case *cowsliptallyv1.Change_DeleteOverride:
		return deleteOverride(c, fleet.BackendID(edit.DeleteOverride))
	default:
		return c, "", refuse("edit", KindEmpty, "a change has no edit")
	}
}

// checkDeletedServices returns an error if a service that the changes delete still has routes.
func (u *Updater) checkDeletedServices(c fleet.Configuration, changes []*cowsliptallyv1.Change) error {
	deleted := make(map[fleet.ServiceName]bool)
	for _, change := range changes {
		name := fleet.ServiceName(change.GetDeleteService())
		if name == "" {
			continue
		}
		if _, found := c.Service(name); !found {
			deleted[name] = true
		}
	}
	if len(deleted) == 0 {
		return nil
	}
	for route := range c.EachRoute() {
		for name := range deleted {
			if route.Serves(name) {
				return refuse("delete service", KindInUse, "service %q still has route %q", name, route.Name)
			}
		}
	}
	return nil
}

func refuse(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, Err: fmt.Errorf(format, args...)}
}
