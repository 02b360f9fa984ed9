package command

import (
	"time"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Route changes and lists routes.
type Route struct {
	Put    RoutePut    `cmd:"" help:"Add or replace a route."`
	Delete RouteDelete `cmd:"" help:"Delete a route."`
	List   RouteList   `cmd:"" help:"List routes."`
}

// RoutePut adds or replaces a route.
type RoutePut struct {
	Proposal
	Name       string        `arg:"" help:"Name of the route."`
	Service    string        `required:"" help:"Service that receives the requests."`
	Host       string        `help:"Host; any by default."`
	Method     string        `help:"Method in capitals; any by default."`
	PathPrefix string        `default:"/" help:"Prefix of the path."`
	Kind       string        `help:"Request kind."`
	Weight     uint32        `default:"1" help:"Value of one answered request."`
	Idempotent bool          `help:"Whether a request may be repeated."`
	TimeLimit  time.Duration `help:"Time limit of the route's requests that set none; by default that of the node."`
}

// Run proposes the route.
func (r *RoutePut) Run(c *Context) error {
	route := &cowsliptallyv1.Route{
		Name:       r.Name,
		Service:    r.Service,
		Host:       r.Host,
		Method:     r.Method,
		PathPrefix: r.PathPrefix,
		Kind:       r.Kind,
		Weight:     r.Weight,
		Idempotent: r.Idempotent,
		TimeoutMs:  uint32(r.TimeLimit.Milliseconds()),
	}
	return r.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: route}})
}

// RouteDelete deletes a route.
type RouteDelete struct {
	Proposal
	Name string `arg:"" help:"Name of the route."`
}

// Run proposes the deletion.
func (r *RouteDelete) Run(c *Context) error {
	return r.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteRoute{DeleteRoute: r.Name}})
}

// RouteList lists routes.
type RouteList struct{}

// Run prints one line for each route.
func (r *RouteList) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	for _, route := range current.GetRoutes() {
		c.printf("route=%s service=%s host=%q method=%q pathprefix=%q kind=%q weight=%d idempotent=%t timeoutms=%d\n",
			route.GetName(), route.GetService(), route.GetHost(), route.GetMethod(), route.GetPathPrefix(),
			route.GetKind(), route.GetWeight(), route.GetIdempotent(), route.GetTimeoutMs())
	}
	return nil
}
