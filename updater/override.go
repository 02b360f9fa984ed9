package updater

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxWhyBytes is the largest length of the reason of an override.
const maxWhyBytes = 500

func (u *Updater) putOverride(c fleet.Configuration, o fleet.Override) (fleet.Configuration, string, error) {
	const operation = "put override"
	if err := checkName(operation, "backend server", string(o.Backend)); err != nil {
		return c, "", err
	}
	if o.Decision != fleet.DecisionIn && o.Decision != fleet.DecisionOut {
		return c, "", refuse(operation, KindValue, "backend server %q: decision %q is neither %q nor %q", o.Backend, o.Decision, fleet.DecisionIn, fleet.DecisionOut)
	}
	if len(o.Why) > maxWhyBytes {
		return c, "", refuse(operation, KindValue, "backend server %q: the reason is longer than %d bytes", o.Backend, maxWhyBytes)
	}
	_, overridden := c.Override(o.Backend)
	if _, joined := u.backends.Backend(o.Backend); !joined && !overridden {
		return c, "", refuse(operation, KindUnknown, "backend server %q has not joined a service", o.Backend)
	}
	return c.WithOverride(o), fmt.Sprintf("override backend server %q: %s", o.Backend, o.Decision), nil
}

func deleteOverride(c fleet.Configuration, id fleet.BackendID) (fleet.Configuration, string, error) {
	if _, found := c.Override(id); !found {
		return c, "", refuse("delete override", KindUnknown, "backend server %q has no override", id)
	}
	return c.WithoutOverride(id), fmt.Sprintf("delete override of backend server %q", id), nil
}
