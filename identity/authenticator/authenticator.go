package authenticator

import "cowsliptally.example/cowsliptally/fleet"

// Authenticator identifies the organisations of one configuration. It is immutable.
type Authenticator struct {
	configuration fleet.Configuration
}

// New returns an authenticator for the organisations of a configuration.
func New(configuration fleet.Configuration) *Authenticator {
	return &Authenticator{configuration: configuration}
}

// ValidFor reports whether the authenticator is valid for a configuration, that is, whether
// the configuration has the same organisations as its own.
func (a *Authenticator) ValidFor(configuration fleet.Configuration) bool {
	return a.configuration.HasSameOrganisations(configuration)
}

// Required reports whether requests need a key: there are organisations.
func (a *Authenticator) Required() bool { return a.configuration.OrganisationCount() > 0 }

// Identify returns the organisation that a key belongs to, and the weight of its requests,
// which is 0 for the weight of the route.
func (a *Authenticator) Identify(key string) (organisation fleet.Organisation, weight int, ok bool) {
	if key == "" {
		return "", 0, false
	}
	return a.configuration.KeyHolder(fleet.DigestKey(key))
}
