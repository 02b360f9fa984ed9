package editor

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	// MaxChanges is the number of changes of one proposal.
	MaxChanges = 10_000
	// maxSummary is the number of changes that a summary names.
	maxSummary = 10
)

// Editor checks and applies changes.
type Editor struct {
	facts Facts
}

// New returns an editor that checks changes against the facts.
func New(facts Facts) *Editor {
	return &Editor{facts: facts}
}

// Edit returns the configuration with all changes and one line for each of the
// first changes, or the reason why a change is refused. It leaves the revision.
func (e *Editor) Edit(c fleet.Configuration, changes []*cowsliptallyv1.Change) (fleet.Configuration, []string, error) {
	if len(changes) == 0 {
		return c, nil, refuse("edit", KindEmpty, "the proposal has no changes")
	}
	if len(changes) > MaxChanges {
		return c, nil, refuse("edit", KindTooMany, "the proposal has %d changes, at most %d are allowed", len(changes), MaxChanges)
	}
	var summary []string
	edited := c
	for i, change := range changes {
		next, line, err := e.edit(edited, change)
		if err != nil {
			return c, nil, err
		}
		edited = next
		if i < maxSummary {
			summary = append(summary, line)
		}
	}
	if err := e.checkRemoved(edited, changes); err != nil {
		return c, nil, err
	}
	if more := len(changes) - maxSummary; more > 0 {
		summary = append(summary, fmt.Sprintf("and %d more", more))
	}
	return edited, summary, nil
}

func (e *Editor) edit(c fleet.Configuration, change *cowsliptallyv1.Change) (fleet.Configuration, string, error) {
	switch edit := change.GetEdit().(type) {
	case *cowsliptallyv1.Change_PutService:
		return e.putService(c, translator.ServiceFromMessage(edit.PutService))
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
		return e.putOverride(c, translator.OverrideFromMessage(edit.PutOverride))
	case *cowsliptallyv1.Change_DeleteOverride:
		return deleteOverride(c, fleet.BackendID(edit.DeleteOverride))
	default:
		return c, "", refuse("edit", KindEmpty, "a change has no edit")
	}
}

// checkRemoved refuses to leave routes of a service that the changes delete.
func (e *Editor) checkRemoved(c fleet.Configuration, changes []*cowsliptallyv1.Change) error {
	removed := make(map[fleet.ServiceName]bool)
	for _, change := range changes {
		name := fleet.ServiceName(change.GetDeleteService())
		if name == "" {
			continue
		}
		if _, found := c.Service(name); !found {
			removed[name] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	for route := range c.EachRoute() {
		if removed[route.Service] {
			return refuse("delete service", KindInUse, "service %q still has route %q", route.Service, route.Name)
		}
	}
	return nil
}

func refuse(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, Err: fmt.Errorf(format, args...)}
}
