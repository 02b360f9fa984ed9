// Package matcher finds the route of a request: the longest path prefix wins, then
// a route with a host, then a route with a method.
package matcher

import (
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
)

// place is where routes are filed; an empty service holds the routes of all services.
type place struct {
	service fleet.ServiceName
	host    string
	prefix  string
}

// Matcher is an index over the routes of one configuration. It is immutable.
type Matcher struct {
	revision fleet.Revision
	routes   map[place][]fleet.Route
	// lengths holds the lengths of all path prefixes, longest first.
	lengths []int
}

// New returns an index over the routes of a configuration.
func New(configuration fleet.Configuration) *Matcher {
	m := &Matcher{revision: configuration.Revision(), routes: make(map[place][]fleet.Route)}
	lengths := make(map[int]bool)
	for _, route := range configuration.Routes() {
		lengths[len(route.PathPrefix)] = true
		for _, service := range []fleet.ServiceName{"", route.Service} {
			p := place{service: service, host: route.Host, prefix: route.PathPrefix}
			m.routes[p] = append(m.routes[p], route)
		}
	}
	for length := range lengths {
		m.lengths = append(m.lengths, length)
	}
	slices.Sort(m.lengths)
	slices.Reverse(m.lengths)
	return m
}

// Revision returns the revision of the configuration.
func (m *Matcher) Revision() fleet.Revision { return m.revision }

// Match finds the route of a request, among those of one service unless it is empty.
func (m *Matcher) Match(service fleet.ServiceName, host, method, path string) (fleet.Route, bool) {
	for _, length := range m.lengths {
		if length > len(path) {
			continue
		}
		p := place{service: service, host: host, prefix: path[:length]}
		if route, found := choose(m.routes[p], method); found {
			return route, true
		}
		p.host = ""
		if route, found := choose(m.routes[p], method); found {
			return route, true
		}
	}
	return fleet.Route{}, false
}

// choose returns the first route by name that fits the method, one with a method first.
func choose(routes []fleet.Route, method string) (fleet.Route, bool) {
	var best fleet.Route
	found := false
	for _, route := range routes {
		if route.Method == method {
			return route, true
		}
		if route.Method == "" && !found {
			best, found = route, true
		}
	}
	return best, found
}

// Host returns the host of a request without its port.
func Host(hostport string) string {
	host, _, _ := strings.Cut(hostport, ":")
	return host
}
