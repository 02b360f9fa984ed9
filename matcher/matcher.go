// Package matcher finds the route of a request: the longest path prefix wins, then
// a route with a host, then a route with a method, then the first by name.
package matcher

import (
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
)

// place is where routes are filed.
type place struct {
	host   string
	prefix string
}

// Matcher is an index over the routes of one configuration. It is immutable.
type Matcher struct {
	configuration fleet.Configuration
	routes        map[place][]fleet.Route
	// lengths holds the lengths of all path prefixes, longest first.
	lengths []int
}

// New returns an index over the routes of a configuration.
func New(configuration fleet.Configuration) *Matcher {
	m := &Matcher{configuration: configuration, routes: make(map[place][]fleet.Route)}
	lengths := make(map[int]bool)
	for route := range configuration.EachRoute() {
		lengths[len(route.PathPrefix)] = true
		p := place{host: route.Host, prefix: route.PathPrefix}
		m.routes[p] = append(m.routes[p], route)
	}
	for length := range lengths {
		m.lengths = append(m.lengths, length)
	}
	slices.Sort(m.lengths)
	slices.Reverse(m.lengths)
	return m
}

// Serves reports whether the index is right for a configuration.
func (m *Matcher) Serves(configuration fleet.Configuration) bool {
	return m.configuration.SharesRoutes(configuration)
}

// Match finds the route of a request, among those of one service unless it is empty.
func (m *Matcher) Match(service fleet.ServiceName, host, method, path string) (fleet.Route, bool) {
	for _, length := range m.lengths {
		if length > len(path) {
			continue
		}
		p := place{host: host, prefix: path[:length]}
		if route, found := choose(m.routes[p], service, method); found {
			return route, true
		}
		p.host = ""
		if route, found := choose(m.routes[p], service, method); found {
			return route, true
		}
	}
	return fleet.Route{}, false
}

// choose returns the first route by name that fits, one with a method first.
func choose(routes []fleet.Route, service fleet.ServiceName, method string) (fleet.Route, bool) {
	var best fleet.Route
	found := false
	for _, route := range routes {
		if service != "" && route.Service != service || route.Method != "" && route.Method != method {
			continue
		}
		if !found || goesBefore(route, best) {
			best, found = route, true
		}
	}
	return best, found
}

// goesBefore orders routes of the same place that fit the same request.
func goesBefore(a, b fleet.Route) bool {
	if (a.Method == "") != (b.Method == "") {
		return a.Method != ""
	}
	return a.Name < b.Name
}

// Host returns the host of a request without its port.
func Host(hostport string) string {
	host, _, _ := strings.Cut(hostport, ":")
	return host
}
