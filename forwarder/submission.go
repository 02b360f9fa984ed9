package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/locator"
	"cowsliptally.example/cowsliptally/matcher"
)

// maxName is the maximum length of identifiers in headers, in bytes.
const maxName = 256

// submission is one request of a caller on its way through the fleet.
type submission struct {
	id fleet.RequestID
	// holder identifies this submission to the deduplicator; it is never chosen by the caller.
	holder  string
	request *http.Request
	// locator is the path and query by which it is routed and identified, and with which it is sent.
	locator      locator.Locator
	content      *collector.Content
	service      fleet.ServiceName
	kind         fleet.RequestKind
	organisation fleet.Organisation
	// authenticated is set if the organisation was determined by a key.
	authenticated bool
	key           string
	identity      string
	weight        int
	idempotent    bool
	// maxRuns is the maximum number of backend servers on which it may run; 0 sets no limit.
	maxRuns  int
	deadline time.Time
	// target is the time after which an answer loses value; zero if it never does.
	target  time.Time
	granted bool
	// admittedAt is when the organisation's quota admitted it; zero without a quota.
	admittedAt time.Time
	// started is when the request was received from its caller.
	started time.Time
	// revision is the configuration revision by which the service was chosen.
	revision fleet.Revision
	// trace describes each attempt: its mode, backend server and owner, result and duration.
	trace []string
	// retryCost is the cost of the current retry that the owner has to charge to its retry
	// budget; 0 when it is charged.
	retryCost float64
	// charged is set if a hedge was charged that did not run: the next retry takes its place.
	charged bool
	// lastAttempt is set while no further attempt would be allowed if the present one ran.
	lastAttempt bool
	// succession is what may follow the present attempt; nil if nothing may.
	succession *succession
	// hedges holds the attempts that are not needed any more, as the results of those that they were made beside are final.
	hedges []*hedge
	// uncounted is set as long as no node can have counted the request for its retry budget.
	uncounted bool
	// retryAfter is the least time after which an owner that refused it expects room; 0 if none is known.
	retryAfter time.Duration
	// stage is how far it has got; copies share it.
	stage *stage
	// lost holds the owners that could not be queried any more about an attempt.
	lost []lostOwner
	// trialNode is the node that permitted the trial run of this suspect request; it is empty
	// for other requests.
	trialNode fleet.NodeID
}

// parse validates a request with the keys that it carried, and returns its submission.
func (f *Forwarder) parse(r *http.Request, keys []string) (*submission, fleet.Reason, error) {
	header := r.Header
	s := &submission{
		id:           fleet.RequestID(header.Get(fleet.HeaderRequestID)),
		holder:       uuid.NewString(),
		request:      r,
		locator:      locator.Of(r),
		organisation: fleet.Organisation(header.Get(fleet.HeaderOrganisation)),
		key:          header.Get(fleet.HeaderIdempotencyKey),
	}
	if s.id == "" {
		s.id = newRequestID()
	}
	for _, name := range []string{fleet.HeaderRequestID, fleet.HeaderOrganisation, fleet.HeaderIdempotencyKey, fleet.HeaderKind} {
		if length := len(header.Get(name)); length > maxName {
			return s, fleet.ReasonBadRequest, fmt.Errorf("header %s has %d bytes, more than %d", name, length, maxName)
		}
	}
	if r.Method == http.MethodConnect || header.Get("Upgrade") != "" {
		return s, fleet.ReasonBadRequest, fmt.Errorf("method CONNECT and protocol upgrades are not served")
	}
	if !s.locator.IsForwardable() {
		return s, fleet.ReasonBadRequest, fmt.Errorf("the request target is no path that can be sent on unchanged")
	}
	// One configuration determines both the route and the organisation: a revision may make a
	// route public and change the keys at once.
	configuration := f.configurations.Configuration()
	s.started, s.revision = f.arrival(r), configuration.Revision()
	route, err := f.route(configuration, r)
	if err != nil {
		return s, fleet.ReasonNoRoute, err
	}
	s.kind, s.weight, s.maxRuns = route.Kind, route.Weight, route.MaxAttempts
	if err := f.authenticate(s, configuration, route, keys); err != nil {
		return s, fleet.ReasonKey, err
	}
	if kind := header.Get(fleet.HeaderKind); kind != "" {
		s.kind = fleet.RequestKind(kind)
	}
	if s.idempotent, err = parseIdempotent(header, route.Idempotent); err != nil {
		return s, fleet.ReasonBadRequest, err
	}
	timeout, err := f.timeoutOf(header, route)
	if err != nil {
		return s, fleet.ReasonBadRequest, err
	}
	s.deadline = s.started.Add(timeout)
	if route.Target > 0 {
		s.target = s.started.Add(route.Target)
	}
	// Last, so that requests that cannot be read take no part of a split.
	s.service = f.splitter.Choose(route)
	return s, "", nil
}

// arrival returns when a request arrived. A pipelined request has waited for those before
// it, and its time limit counts from its arrival.
func (f *Forwarder) arrival(r *http.Request) time.Time {
	now := f.clock.Now()
	if arrived, found := acceptor.Arrival(r.Context()); found && arrived.Before(now) {
		return arrived
	}
	return now
}

// route returns the route of a request, before its split. A service named in the header
// takes precedence over the routes and their splits; its own routes still set the kind and
// weight.
func (f *Forwarder) route(configuration fleet.Configuration, r *http.Request) (fleet.Route, error) {
	service := fleet.ServiceName(r.Header.Get(fleet.HeaderService))
	routes := f.matcher(configuration)
	path := locator.Of(r).Path()
	route, found := routes.Match(service, matcher.Host(r.Host), r.Method, path)
	switch {
	case found && service != "":
		route.Service, route.Split = service, nil
		return route, nil
	case found:
		return route, nil
	case service == "":
		return route, fmt.Errorf("no route matches %s %s on host %q", r.Method, path, r.Host)
	}
	if _, exists := configuration.Service(service); !exists {
		return route, fmt.Errorf("service %q does not exist", service)
	}
	return fleet.Route{Service: service, Idempotent: safe(r.Method)}, nil
}

// matcher returns the index of the routes of a configuration.
func (f *Forwarder) matcher(configuration fleet.Configuration) *matcher.Matcher {
	if m := f.routes.Load(); m != nil && m.ValidFor(configuration) {
		return m
	}
	m := matcher.New(configuration)
	f.routes.Store(m)
	return m
}

// MayRepeat reports whether a request may run twice by its route.
func (f *Forwarder) MayRepeat(r *http.Request) bool {
	if !f.configurations.Ready() {
		return false
	}
	route, err := f.route(f.configurations.Configuration(), r)
	if err != nil {
		return false
	}
	idempotent, err := parseIdempotent(r.Header, route.Idempotent)
	return err == nil && idempotent
}

// timeoutOf returns the time limit: the caller's, else the route's, else the node's. It
// is capped at the route's maximum and at MaxTimeout.
func (f *Forwarder) timeoutOf(header http.Header, route fleet.Route) (time.Duration, error) {
	timeout := f.timeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if value := header.Get(fleet.HeaderTimeout); value != "" {
		milliseconds, err := strconv.ParseInt(value, 10, 32)
		if err != nil || milliseconds <= 0 {
			return 0, fmt.Errorf("header %s is %q, not milliseconds above 0", fleet.HeaderTimeout, value)
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	if route.MaxTimeout > 0 {
		timeout = min(timeout, route.MaxTimeout)
	}
	return min(timeout, MaxTimeout), nil
}

// parseIdempotent returns the value of the idempotency header, which takes precedence
// over the route's.
func parseIdempotent(header http.Header, route bool) (bool, error) {
	switch value := header.Get(fleet.HeaderIdempotent); value {
	case "":
		return route, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fmt.Errorf("header %s is %q, not true or false", fleet.HeaderIdempotent, value)
	}
}

// safe reports whether a method is read-only.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func newRequestID() fleet.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		return fleet.RequestID(uuid.NewString())
	}
	return fleet.RequestID(id.String())
}
