package fleet

import "time"

// Route maps requests to a service and says how they may be treated.
type Route struct {
	Name    string
	Service ServiceName
	// Host and Method match any request when empty.
	Host       string
	Method     string
	PathPrefix string
	Kind       RequestKind
	// Weight is the worth of one answered request.
	Weight     int
	Idempotent bool
	// Timeout is the time limit of a request; 0 takes the node's default.
	Timeout time.Duration
	// MaxTimeout is the longest time limit that a caller may ask for; 0 for no bound.
	MaxTimeout time.Duration
	// Target is the time within which an answer is worth most; 0 if it does not matter.
	Target time.Duration
	// MaxAttempts is the most backend servers on which one request may run; 0 takes
	// the node's default.
	MaxAttempts int
	// Split divides the requests among services; it replaces Service unless it is nil.
	Split *Split
}

// Matches reports whether a request with this host, method and path takes the route.
func (r Route) Matches(host, method, path string) bool {
	if r.Host != "" && r.Host != host {
		return false
	}
	if r.Method != "" && r.Method != method {
		return false
	}
	return len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}

// Key returns the name under which a configuration holds the route.
func (r Route) Key() string { return r.Name }
