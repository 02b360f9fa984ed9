package fleet

import (
	"slices"
	"time"
)

// Route maps requests to a service and sets how they are handled.
type Route struct {
	Name    string
	Service ServiceName
	// Host and Method match any request when empty.
	Host       string
	Method     string
	PathPrefix string
	Kind       RequestKind
	// Weight is the value of one answered request.
	Weight     int
	Idempotent bool
	// Public means that requests need no key of an organisation.
	Public bool
	// Timeout is the time limit of a request; 0 for the node's default.
	Timeout time.Duration
	// MaxTimeout is the longest time limit that a caller may request; 0 for no maximum.
	MaxTimeout time.Duration
	// Target is the time within which an answer has its full value; 0 if its value does
	// not depend on time.
	Target time.Duration
	// MaxAttempts is the largest number of backend servers on which one request may
	// run; 0 for the node's default.
	MaxAttempts int
	// Split divides the requests among services; unless nil, it replaces Service.
	Split *Split
}

// Matches reports whether the route applies to a request with this host, method and path.
func (r Route) Matches(host, method, path string) bool {
	if r.Host != "" && r.Host != host {
		return false
	}
	if r.Method != "" && r.Method != method {
		return false
	}
	return len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}

// Serves reports whether requests of the route may go to a service.
func (r Route) Serves(service ServiceName) bool {
	if r.Split == nil {
		return r.Service == service
	}
	return slices.ContainsFunc(r.Split.Shares(), func(share Share) bool { return share.Service == service })
}

// Key returns the name under which a configuration holds the route.
func (r Route) Key() string { return r.Name }
