package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// routeOf is a route as the operator wrote it.
type routeOf struct {
	name, prefix, kind, service string
}

func (f *fleet) configureRoutes(routes []routeOf) {
	resources := []string{service("ledger"), service("intake"), limits()}
	for _, r := range routes {
		resources = append(resources, route(r.name, r.prefix, r.kind, r.service, 4))
	}
	f.configure(7, resources...)
}

// match returns the route with the longest prefix that begins the path of a request as it was sent.
func match(routes []routeOf, target string) (best routeOf, found bool) {
	for _, r := range routes {
		if strings.HasPrefix(target, r.prefix) && (!found || len(r.prefix) > len(best.prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// deploy adds machines, configures the routes and starts the nodes. Each node has to serve a request
// of each target.
func (f *fleet) deploy(ledgers, intakes int, routes []routeOf, targets ...string) error {
	for range ledgers {
		f.addMachine("ledger")
	}
	for range intakes {
		f.addMachine("intake")
	}
	f.configureRoutes(routes)
	return f.start(func(m *machine) bool {
		for _, target := range targets {
			if a := f.send(m, http.MethodGet, target, "", time.Second); a.status != http.StatusOK || a.signature == "" {
				return false
			}
		}
		return true
	})
}

// playTwice loses answers while requests of an unsafe route have an encoded slash in their path.
func playTwice(f *fleet, trouble bool) (why []string, err error) {
	routes := []routeOf{
		{"refund-booking", "/refunds/", "unsafe", "ledger"},
		{"refund-list", "/refunds/list/", "safe", "ledger"},
	}
	if err := f.deploy(5, 0, routes, "/refunds/list/warm"); err != nil {
		return nil, err
	}
	// 0.6 of the servers lose the answer of 0.4 of the requests that they ran, for 5 s.
	if trouble {
		for _, m := range f.machines[:3] {
			var ran atomic.Int64
			m.server.after = func(*http.Request) bool { return ran.Add(1)%5 < 2 }
		}
		f.note("trouble  answers are lost at 3 of 5 servers")
	}
	sent := make(chan answer, 100)
	targets := make(map[string]string)
	count := 0
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < 5*time.Second; count++ {
		<-ticker.C
		target := fmt.Sprintf("/refunds/list%%2F2026-12-%d", count)
		m := f.machines[count%len(f.machines)]
		go func() { sent <- f.send(m, http.MethodPost, target, `{"amount":5}`, 5*time.Second) }()
	}
	var answers []answer
	for range count {
		answers = append(answers, <-sent)
	}
	time.Sleep(time.Second)
	for _, a := range answers {
		runs := f.runsOf(a.id)
		if len(runs) == 0 {
			continue
		}
		targets[a.id] = runs[0].target
		if r, found := match(routes, runs[0].target); found && r.kind != "safe" && len(runs) > 1 {
			why = append(why, fmt.Sprintf("TWICE: request %s POST %s of the unsafe route %s ran %d times, at %s and %s", a.id, runs[0].target, r.prefix, len(runs), runs[0].server, runs[1].server))
		}
	}
	return why, nil
}

// playRoute sends requests with an encoded slash, by which their path begins with another route's
// prefix only once it is decoded.
func playRoute(f *fleet, trouble bool) (why []string, err error) {
	routes := []routeOf{
		{"grade-query", "/media/", "safe", "intake"},
		{"pickup-history", "/media/ledger/", "safe", "ledger"},
		{"stock", "/stock/", "safe", "ledger"},
	}
	if err := f.deploy(3, 2, routes, "/media/warm", "/media/ledger/warm", "/stock/warm"); err != nil {
		return nil, err
	}
	separator := "-"
	if trouble {
		separator = "%2F"
	}
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		for _, target := range []string{fmt.Sprintf("/media/ledger%s7-%d", separator, i), fmt.Sprintf("/stock%s7-%d", separator, i)} {
			a := f.send(m, http.MethodGet, target, "", 2*time.Second)
			r, found := match(routes, target)
			for _, ran := range f.runsOf(a.id) {
				if !found {
					why = append(why, fmt.Sprintf("ROUTE: request %s GET %s, which no route matches, was run by service %s and got %d", a.id, target, ran.service, a.status))
				} else if ran.service != r.service {
					why = append(why, fmt.Sprintf("ROUTE: request %s GET %s of route %s to %s was run by service %s", a.id, target, r.prefix, r.service, ran.service))
				}
			}
		}
	}
	return why, nil
}

// playName has clients name the caller's service themselves.
func playName(f *fleet, trouble bool) (why []string, err error) {
	routes := []routeOf{{"refund-booking", "/refunds/", "unsafe", "ledger"}, {"grade-query", "/grades/", "safe", "intake"}}
	if err := f.deploy(3, 2, routes, "/refunds/warm", "/grades/warm"); err != nil {
		return nil, err
	}
	headers := []string{"X-Caller-Service: forged"}
	if trouble {
		headers = append(headers, "Connection: close, X-Caller-Service")
	}
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		for _, target := range []string{"/refunds/", "/grades/"} {
			a := f.send(m, http.MethodPost, fmt.Sprintf("%s7-%d", target, i), "{}", 2*time.Second, headers...)
			for _, ran := range f.runsOf(a.id) {
				if ran.caller != m.service {
					why = append(why, fmt.Sprintf("UNASKED: request %s from a machine of service %s was run with X-Caller-Service %q", a.id, m.service, ran.caller))
				}
			}
		}
	}
	return why, nil
}
