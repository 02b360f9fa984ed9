// Package matcher finds the route of a request. Of several matching routes, the one
// with the longest path prefix takes precedence, then one with a host, then one with a
// method, then the first by name.
package matcher

import (
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
)

// routeKey is the key under which the index holds routes.
type routeKey struct {
	host   string
	prefix string
}

// Matcher is an index over the routes of one configuration. It is immutable.
type Matcher struct {
	configuration fleet.Configuration
	routes        map[routeKey][]fleet.Route
	// prefixLengths holds the distinct lengths of all path prefixes, longest first.
	prefixLengths []int
}

// New returns an index over the routes of a configuration.
func New(configuration fleet.Configuration) *Matcher {
	m := &Matcher{configuration: configuration, routes: make(map[routeKey][]fleet.Route)}
	lengths := make(map[int]bool)
	for route := range configuration.EachRoute() {
		lengths[len(route.PathPrefix)] = true
		key := routeKey{host: Host(route.Host), prefix: route.PathPrefix}
		m.routes[key] = append(m.routes[key], route)
	}
	for length := range lengths {
		m.prefixLengths = append(m.prefixLengths, length)
	}
	slices.Sort(m.prefixLengths)
	slices.Reverse(m.prefixLengths)
	return m
}

// ValidFor reports whether the index is valid for a configuration, that is, whether the
// configuration has the same routes as the one from which the index was built.
func (m *Matcher) ValidFor(configuration fleet.Configuration) bool {
	return m.configuration.HasSameRoutes(configuration)
}

// Match returns the route of a request. If service is not empty, only the routes that
// may use that service are considered.
func (m *Matcher) Match(service fleet.ServiceName, host, method, path string) (fleet.Route, bool) {
	for _, length := range m.prefixLengths {
		if length > len(path) {
			continue
		}
		key := routeKey{host: host, prefix: path[:length]}
		if route, found := choose(m.routes[key], service, method); found {
			return route, true
		}
		key.host = ""
		if route, found := choose(m.routes[key], service, method); found {
			return route, true
		}
	}
	return fleet.Route{}, false
}

// choose returns the matching route of highest precedence among routes of the same key.
func choose(routes []fleet.Route, service fleet.ServiceName, method string) (fleet.Route, bool) {
	var best fleet.Route
	found := false
	for _, route := range routes {
		if service != "" && !route.Serves(service) || route.Method != "" && route.Method != method {
			continue
		}
		if !found || precedes(route, best) {
			best, found = route, true
		}
	}
	return best, found
}

// precedes reports whether a takes precedence over b, when both have the same key and
// match the same request.
func precedes(a, b fleet.Route) bool {
	if (a.Method == "") != (b.Method == "") {
		return a.Method != ""
	}
	return a.Name < b.Name
}

// Host returns a host without its port and without the brackets around an IPv6 address.
func Host(hostport string) string {
	if address, rest, found := strings.Cut(hostport, "]"); found && strings.HasPrefix(address, "[") && (rest == "" || rest[0] == ':') {
		return address[1:]
	}
	if host, port, found := strings.Cut(hostport, ":"); found && !strings.Contains(port, ":") {
		return host
	}
	return hostport
}
