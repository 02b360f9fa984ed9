package updater

import (
	"fmt"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxPathBytes is the largest length of a path prefix.
	maxPathBytes = 2048
	// maxWeight is the largest weight of a route and of a share of its split.
	maxWeight = 1_000_000
	// maxTimeout is the longest time limit of a route.
	maxTimeout = time.Hour
)

func putRoute(c fleet.Configuration, r fleet.Route) (fleet.Configuration, string, error) {
	const operation = "put route"
	if err := checkName(operation, "route", r.Name); err != nil {
		return c, "", err
	}
	if err := checkServices(operation, c, r); err != nil {
		return c, "", err
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathBytes {
		return c, "", refuse(operation, KindValue, "route %q: path prefix %q does not begin with / or is longer than %d bytes", r.Name, r.PathPrefix, maxPathBytes)
	}
	if r.Method != strings.ToUpper(r.Method) || len(r.Method) > maxNameBytes {
		return c, "", refuse(operation, KindValue, "route %q: method %q is not in capitals", r.Name, r.Method)
	}
	if len(r.Host) > maxNameBytes || len(r.Kind) > maxNameBytes {
		return c, "", refuse(operation, KindValue, "route %q: host or kind is longer than %d bytes", r.Name, maxNameBytes)
	}
	if r.Weight > maxWeight {
		return c, "", refuse(operation, KindValue, "route %q: weight %d is more than %d", r.Name, r.Weight, maxWeight)
	}
	if r.Timeout > maxTimeout || r.MaxTimeout > maxTimeout {
		return c, "", refuse(operation, KindValue, "route %q: time limit %v or %v is more than %v", r.Name, r.Timeout, r.MaxTimeout, maxTimeout)
	}
	return c.WithRoute(r), fmt.Sprintf("put route %q to service %q", r.Name, r.Service), nil
}

// checkServices returns an error if a service of the route does not exist, or if no
// service has a share.
func checkServices(operation string, c fleet.Configuration, r fleet.Route) error {
	shares := []fleet.Share{{Service: r.Service, Weight: 1}}
	if r.Split != nil {
		shares = r.Split.Shares()
	}
	total := 0
	for _, share := range shares {
		if _, found := c.Service(share.Service); !found {
			return refuse(operation, KindUnknown, "route %q: service %q does not exist", r.Name, share.Service)
		}
		if share.Weight < 0 || share.Weight > maxWeight {
			return refuse(operation, KindValue, "route %q: weight %d of service %q is not from 0 to %d", r.Name, share.Weight, share.Service, maxWeight)
		}
		total += share.Weight
	}
	if total == 0 {
		return refuse(operation, KindValue, "route %q: no service has a weight above 0", r.Name)
	}
	return nil
}

func deleteRoute(c fleet.Configuration, name string) (fleet.Configuration, string, error) {
	if _, found := c.Route(name); !found {
		return c, "", refuse("delete route", KindUnknown, "route %q does not exist", name)
	}
	return c.WithoutRoute(name), fmt.Sprintf("delete route %q", name), nil
}
