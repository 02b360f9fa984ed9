package fleet

import (
	"maps"
	"slices"
	"strings"
)

// Revision counts accepted configurations from 1; 0 is the empty one.
type Revision uint64

// Configuration is all that operators decided, at one revision. The zero value
// is the empty configuration.
type Configuration struct {
	revision  Revision
	services  map[ServiceName]Service
	routes    map[string]Route
	limits    map[Organisation]Limit
	overrides map[BackendID]Override
}

// Revision returns the revision.
func (c Configuration) Revision() Revision { return c.revision }

// Service returns a service by name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service {
	return sorted(c.services, func(s Service) string { return string(s.Name) })
}

// Route returns a route by name.
func (c Configuration) Route(name string) (Route, bool) {
	route, found := c.routes[name]
	return route, found
}

// Routes returns all routes, sorted by name.
func (c Configuration) Routes() []Route {
	return sorted(c.routes, func(r Route) string { return r.Name })
}

// Limit returns the limit of an organisation.
func (c Configuration) Limit(name Organisation) (Limit, bool) {
	limit, found := c.limits[name]
	return limit, found
}

// Limits returns all limits, sorted by organisation.
func (c Configuration) Limits() []Limit {
	return sorted(c.limits, func(l Limit) string { return string(l.Organisation) })
}

// Override returns the operator's decision about a backend server.
func (c Configuration) Override(id BackendID) (Override, bool) {
	override, found := c.overrides[id]
	return override, found
}

// Overrides returns all overrides, sorted by backend server.
func (c Configuration) Overrides() []Override {
	return sorted(c.overrides, func(o Override) string { return string(o.Backend) })
}

// WithRevision returns a copy at another revision.
func (c Configuration) WithRevision(revision Revision) Configuration {
	c.revision = revision
	return c
}

// WithService returns a copy that holds the service.
func (c Configuration) WithService(service Service) Configuration {
	c.services = with(c.services, service.Name, service)
	return c
}

// WithoutService returns a copy that lacks the service.
func (c Configuration) WithoutService(name ServiceName) Configuration {
	c.services = without(c.services, name)
	return c
}

// WithRoute returns a copy that holds the route.
func (c Configuration) WithRoute(route Route) Configuration {
	c.routes = with(c.routes, route.Name, route)
	return c
}

// WithoutRoute returns a copy that lacks the route.
func (c Configuration) WithoutRoute(name string) Configuration {
	c.routes = without(c.routes, name)
	return c
}

// WithLimit returns a copy that holds the limit.
func (c Configuration) WithLimit(limit Limit) Configuration {
	c.limits = with(c.limits, limit.Organisation, limit)
	return c
}

// WithoutLimit returns a copy that lacks the limit.
func (c Configuration) WithoutLimit(name Organisation) Configuration {
	c.limits = without(c.limits, name)
	return c
}

// WithOverride returns a copy that holds the override.
func (c Configuration) WithOverride(override Override) Configuration {
	c.overrides = with(c.overrides, override.Backend, override)
	return c
}

// WithoutOverride returns a copy that lacks the override.
func (c Configuration) WithoutOverride(id BackendID) Configuration {
	c.overrides = without(c.overrides, id)
	return c
}

func with[K comparable, V any](entries map[K]V, key K, value V) map[K]V {
	changed := make(map[K]V, len(entries)+1)
	maps.Copy(changed, entries)
	changed[key] = value
	return changed
}

func without[K comparable, V any](entries map[K]V, key K) map[K]V {
	changed := maps.Clone(entries)
	delete(changed, key)
	return changed
}

func sorted[K comparable, V any](entries map[K]V, name func(V) string) []V {
	values := slices.Collect(maps.Values(entries))
	slices.SortFunc(values, func(a, b V) int { return strings.Compare(name(a), name(b)) })
	return values
}
