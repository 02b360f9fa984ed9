package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/matcher"
)

func TestHostDropsThePort(t *testing.T) {
	is := is.New(t)
	for value, host := range map[string]string{
		"": "", "h.example": "h.example", "h.example:8080": "h.example", "10.1.0.2:80": "10.1.0.2",
		"[::1]": "::1", "[::1]:8080": "::1", "::1": "::1", "h.example:": "h.example", "[::1": "[::1",
	} {
		is.Equal(matcher.Host(value), host)
	}
}

// TestIPv6HostsAreToldApart guards against hosts that are cut at their first colon, so that
// all IPv6 addresses are one host.
func TestIPv6HostsAreToldApart(t *testing.T) {
	is := is.New(t)
	m := matcher.New(fleet.Configuration{}.WithRevision(1).
		WithRoute(fleet.Route{Name: "a", Service: "ledger", Host: "[2001:db8::1]", PathPrefix: "/"}).
		WithRoute(fleet.Route{Name: "b", Service: "intake", Host: "2001:db8::2", PathPrefix: "/"}))
	route, found := m.Match("", matcher.Host("[2001:db8::1]:80"), "GET", "/")
	is.True(found)
	is.Equal(route.Service, fleet.ServiceName("ledger"))
	route, found = m.Match("", matcher.Host("[2001:db8::2]"), "GET", "/")
	is.True(found)
	is.Equal(route.Service, fleet.ServiceName("intake"))
	_, found = m.Match("", matcher.Host("[2001:db8::3]"), "GET", "/")
	is.True(!found)
}

// TestNamedServiceMatchesSplitRoutes names a service that only a split refers to.
func TestNamedServiceMatchesSplitRoutes(t *testing.T) {
	is := is.New(t)
	split := fleet.NewSplit(fleet.Share{Service: "ledger", Weight: 1}, fleet.Share{Service: "intake", Weight: 1})
	m := matcher.New(fleet.Configuration{}.WithRevision(1).
		WithRoute(fleet.Route{Name: "a", Service: "old", PathPrefix: "/", Kind: "look", Split: split}))
	for service, want := range map[fleet.ServiceName]bool{"ledger": true, "intake": true, "old": false, "other": false} {
		route, found := m.Match(service, "", "GET", "/")
		is.Equal(found, want)
		is.Equal(route.Kind == "look", want)
	}
}
