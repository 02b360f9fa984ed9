package fleet

import (
	"iter"
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/indexer"
)

// Revision numbers accepted configurations from 1; 0 is the empty configuration.
type Revision uint64

// Configuration holds all settings made by operators, at one revision. The zero
// value is the empty configuration.
type Configuration struct {
	revision  Revision
	services  indexer.Index[ServiceName, Service]
	routes    indexer.Index[string, Route]
	limits    indexer.Index[Organisation, Limit]
	overrides indexer.Index[BackendID, Override]
	// organisations and keyHolders hold the same organisations by name and by key.
	organisations indexer.Index[Organisation, OrganisationSettings]
	keyHolders    indexer.Index[KeyDigest, keyHolder]
}

// Revision returns the configuration's revision.
func (c Configuration) Revision() Revision { return c.revision }

// Service returns a service by name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	return c.services.Get(name)
}

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service {
	return sorted(c.services.All(), func(s Service) string { return string(s.Name) })
}

// Route returns a route by name.
func (c Configuration) Route(name string) (Route, bool) {
	return c.routes.Get(name)
}

// Routes returns all routes, sorted by name.
func (c Configuration) Routes() []Route {
	return sorted(c.routes.All(), func(r Route) string { return r.Name })
}

// Limit returns the limit of an organisation.
func (c Configuration) Limit(name Organisation) (Limit, bool) {
	return c.limits.Get(name)
}

// Limits returns all limits, sorted by organisation.
func (c Configuration) Limits() []Limit {
	return sorted(c.limits.All(), func(l Limit) string { return string(l.Organisation) })
}

// Organisation returns the settings of an organisation.
func (c Configuration) Organisation(name Organisation) (OrganisationSettings, bool) {
	return c.organisations.Get(name)
}

// OrganisationCount returns the number of organisations. Requests need a key if there are any.
func (c Configuration) OrganisationCount() int { return c.organisations.Len() }

// KeyHolder returns the organisation that a key belongs to, and the weight of its requests,
// which is 0 for the weight of the route.
func (c Configuration) KeyHolder(digest KeyDigest) (name Organisation, weight int, found bool) {
	holder, found := c.keyHolders.Get(digest)
	return holder.organisation, holder.weight, found
}

// EachOrganisation yields all organisations in no particular order.
func (c Configuration) EachOrganisation() iter.Seq[OrganisationSettings] {
	return c.organisations.All()
}

// HasSameOrganisations reports whether two configurations, one of which was derived from the
// other, have the same organisations.
func (c Configuration) HasSameOrganisations(other Configuration) bool {
	return c.organisations == other.organisations
}

// Override returns the operator's decision about a backend server.
func (c Configuration) Override(id BackendID) (Override, bool) {
	return c.overrides.Get(id)
}

// Overrides returns all overrides, sorted by backend server.
func (c Configuration) Overrides() []Override {
	return sorted(c.overrides.All(), func(o Override) string { return string(o.Backend) })
}

// EachRoute yields all routes in no particular order, which avoids the cost of sorting.
func (c Configuration) EachRoute() iter.Seq[Route] { return c.routes.All() }

// HasSameRoutes reports whether two configurations, one of which was derived from
// the other, have the same routes.
func (c Configuration) HasSameRoutes(other Configuration) bool { return c.routes == other.routes }

// EachLimit yields all limits in no particular order, which avoids the cost of sorting.
func (c Configuration) EachLimit() iter.Seq[Limit] { return c.limits.All() }

// Counts returns the number of services, routes, limits and overrides.
func (c Configuration) Counts() (services, routes, limits, overrides int) {
	return c.services.Len(), c.routes.Len(), c.limits.Len(), c.overrides.Len()
}

// WithRevision returns a copy at another revision.
func (c Configuration) WithRevision(revision Revision) Configuration {
	c.revision = revision
	return c
}

// WithService returns a copy with the service added or replaced.
func (c Configuration) WithService(service Service) Configuration {
	c.services = c.services.With(service)
	return c
}

// WithoutService returns a copy without the service.
func (c Configuration) WithoutService(name ServiceName) Configuration {
	c.services = c.services.Without(name)
	return c
}

// WithRoute returns a copy with the route added or replaced.
func (c Configuration) WithRoute(route Route) Configuration {
	c.routes = c.routes.With(route)
	return c
}

// WithoutRoute returns a copy without the route.
func (c Configuration) WithoutRoute(name string) Configuration {
	c.routes = c.routes.Without(name)
	return c
}

// WithLimit returns a copy with the limit added or replaced.
func (c Configuration) WithLimit(limit Limit) Configuration {
	c.limits = c.limits.With(limit)
	return c
}

// WithoutLimit returns a copy without the limit.
func (c Configuration) WithoutLimit(name Organisation) Configuration {
	c.limits = c.limits.Without(name)
	return c
}

// WithOrganisation returns a copy with the organisation added or replaced. Its keys must not
// belong to another organisation.
func (c Configuration) WithOrganisation(settings OrganisationSettings) Configuration {
	c = c.WithoutOrganisation(settings.Name)
	c.organisations = c.organisations.With(settings)
	for _, holder := range settings.holders() {
		c.keyHolders = c.keyHolders.With(holder)
	}
	return c
}

// WithoutOrganisation returns a copy without the organisation and its keys.
func (c Configuration) WithoutOrganisation(name Organisation) Configuration {
	settings, found := c.organisations.Get(name)
	if !found {
		return c
	}
	c.organisations = c.organisations.Without(name)
	for _, digest := range settings.Keys {
		c.keyHolders = c.keyHolders.Without(digest)
	}
	return c
}

// WithOrganisations returns a copy that has exactly the given organisations, whose names and
// keys must be distinct. It is much cheaper than a With call for each organisation.
func (c Configuration) WithOrganisations(organisations []OrganisationSettings) Configuration {
	var holders []keyHolder
	for _, settings := range organisations {
		holders = append(holders, settings.holders()...)
	}
	c.organisations = indexer.FromValues(organisations)
	c.keyHolders = indexer.FromValues(holders)
	return c
}

// WithOverride returns a copy with the override added or replaced.
func (c Configuration) WithOverride(override Override) Configuration {
	c.overrides = c.overrides.With(override)
	return c
}

// WithoutOverride returns a copy without the override.
func (c Configuration) WithoutOverride(id BackendID) Configuration {
	c.overrides = c.overrides.Without(id)
	return c
}

func sorted[V any](entries iter.Seq[V], name func(V) string) []V {
	return slices.SortedFunc(entries, func(a, b V) int { return strings.Compare(name(a), name(b)) })
}

// NewConfiguration returns a configuration with the given entries. It is much
// cheaper than a With call for each entry.
func NewConfiguration(revision Revision, services []Service, routes []Route, limits []Limit, overrides []Override) Configuration {
	return Configuration{
		revision:  revision,
		services:  indexer.FromValues(services),
		routes:    indexer.FromValues(routes),
		limits:    indexer.FromValues(limits),
		overrides: indexer.FromValues(overrides),
	}
}
