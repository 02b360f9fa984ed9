package registrar

import (
	"context"

	"cowsliptally.example/cowsliptally/fleet"
)

// noDepartures records nothing.
type noDepartures struct{}

func (noDepartures) Ready(context.Context) error                   { return nil }
func (noDepartures) Contains(fleet.BackendID) bool                 { return false }
func (noDepartures) Record(context.Context, fleet.BackendID) error { return nil }
