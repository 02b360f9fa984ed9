package forwarder

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/collector"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/matcher"
)

// maxName bounds the length of identifiers in headers, in bytes.
const maxName = 256

// submission is one request of a caller on its way through the fleet.
type submission struct {
	id fleet.RequestID
	// holder names this submission to the guard; it is never the caller's choice.
	holder       string
	request      *http.Request
	content      *collector.Content
	service      fleet.ServiceName
	kind         fleet.RequestKind
	organisation fleet.Organisation
	key          string
	identity     string
	weight       int
	idempotent   bool
	// maxRuns is the most backend servers on which it may run; 0 for no bound of its own.
	maxRuns  int
	deadline time.Time
	// target is when an answer begins to be worth less; zero if it never does.
	target  time.Time
	granted bool
	// started is when the request was taken from its caller.
	started time.Time
	// revision is that of the configuration that chose the service.
	revision fleet.Revision
	// trace tells each attempt: its way, where it went, how it ended and how long it took.
	trace []string
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// owed is the price of the retry that is under way, which the owner has to pay; 0 when
	// it is paid.
	owed float64
	// lostOwners counts the owners that could not be asked any more about an attempt.
	lostOwners int
	// trialNode permitted the trial run of this suspect; it is empty for others.
	trialNode fleet.NodeID
}

// parse reads what a request asks for.
func (f *Forwarder) parse(r *http.Request) (*submission, fleet.Reason, error) {
	header := r.Header
	s := &submission{
		id:           fleet.RequestID(header.Get(fleet.HeaderRequest)),
		holder:       uuid.NewString(),
		request:      r,
		organisation: fleet.Organisation(header.Get(fleet.HeaderOrganisation)),
		key:          header.Get(fleet.HeaderKey),
	}
	if s.id == "" {
		s.id = newRequestID()
	}
	for _, name := range []string{fleet.HeaderRequest, fleet.HeaderOrganisation, fleet.HeaderKey, fleet.HeaderKind} {
		if length := len(header.Get(name)); length > maxName {
			return s, fleet.ReasonBadRequest, fmt.Errorf("header %s has %d bytes, more than %d", name, length, maxName)
		}
	}
	if r.Method == http.MethodConnect || header.Get("Upgrade") != "" {
		return s, fleet.ReasonBadRequest, fmt.Errorf("method CONNECT and protocol upgrades are not served")
	}
	s.started, s.revision = f.clock.Now(), f.configurations.Configuration().Revision()
	route, err := f.route(r)
	if err != nil {
		return s, fleet.ReasonNoRoute, err
	}
	s.service, s.kind, s.weight, s.maxRuns = route.Service, route.Kind, route.Weight, route.MaxAttempts
	if kind := header.Get(fleet.HeaderKind); kind != "" {
		s.kind = fleet.RequestKind(kind)
	}
	if s.idempotent, err = repeatable(header, route.Idempotent); err != nil {
		return s, fleet.ReasonBadRequest, err
	}
	timeout, err := f.timeoutOf(header, route)
	if err != nil {
		return s, fleet.ReasonBadRequest, err
	}
	now := f.clock.Now()
	s.deadline = now.Add(timeout)
	if route.Target > 0 {
		s.target = now.Add(route.Target)
	}
	return s, "", nil
}

// route finds how a request is treated. A named service goes before the routes; its
// own routes still say the kind and weight.
func (f *Forwarder) route(r *http.Request) (fleet.Route, error) {
	service := fleet.ServiceName(r.Header.Get(fleet.HeaderService))
	routes := f.matcher()
	route, found := routes.Match(service, matcher.Host(r.Host), r.Method, r.URL.Path)
	if found {
		return divide(route), nil
	}
	if service == "" {
		return route, fmt.Errorf("no route matches %s %s on host %q", r.Method, r.URL.Path, r.Host)
	}
	if _, exists := f.configurations.Configuration().Service(service); !exists {
		return route, fmt.Errorf("service %q does not exist", service)
	}
	return fleet.Route{Service: service, Idempotent: safe(r.Method)}, nil
}

// divide draws the service of a request where its route has several.
func divide(route fleet.Route) fleet.Route {
	if total := route.Split.Total(); total > 0 {
		route.Service = route.Split.At(rand.IntN(total))
	}
	return route
}

// timeoutOf returns the time limit: the caller's, else the route's, else the node's.
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

// repeatable reads the header that goes before the route.
func repeatable(header http.Header, route bool) (bool, error) {
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

// safe reports whether a method promises to change nothing.
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
