package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// calm is twice stable_window_s after the last event, from which requests are counted.
	calm = 2 * stableWindow
	// counted is the number of requests on each route that are counted.
	counted = 30
	// hotTarget is the one path of the route that is added later.
	hotTarget = "/grades/today"
)

// playLost has a server lost for good while it runs a request on a route that was added later. All requests on
// that route have the same path.
func playLost(f *fleet, trouble bool) (why []string, err error) {
	routes := []routeOf{{"pickup-history", "/history/", "safe", "ledger"}, {"refund-booking", "/refunds/", "unsafe", "ledger"}}
	if err := f.deploy(8, 0, routes, "/history/warm"); err != nil {
		return nil, err
	}
	resources := []string{service("ledger"), service("intake"), limits()}
	for _, r := range append(routes, routeOf{"grade-query", "/grades/", "safe", "ledger"}) {
		resources = append(resources, route(r.name, r.prefix, r.kind, r.service, 4))
	}
	f.configure(9, resources...)
	time.Sleep(calm)
	began := make(chan *machine, 1)
	for _, m := range f.machines {
		m.server.work = 300 * time.Millisecond
		m.server.began = func(r *http.Request) {
			if r.URL.Path == hotTarget {
				select {
				case began <- m:
				default:
				}
			}
		}
	}
	// One request on the new route, at the last machine: the server that runs it is the one that is lost.
	entry := f.machines[len(f.machines)-1]
	first := make(chan answer, 1)
	go func() { first <- f.send(entry, http.MethodGet, hotTarget, "", 2*time.Second) }()
	var lost *machine
	select {
	case lost = <-began:
	case <-time.After(3 * time.Second):
		return nil, fmt.Errorf("the first request was not run")
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		lost.server.crash(0)
		time.Sleep(time.Second)
		// The platform removes the machine of the server.
		f.note("SIGTERM  node=%s pid=%d", lost.name, lost.pid)
		_ = lost.process.Process.Signal(syscall.SIGTERM)
		select {
		case <-lost.exited:
		case <-time.After(gracePeriod):
			_ = lost.process.Process.Kill()
		}
	}
	<-first
	time.Sleep(calm)
	f.note("calm     requests are counted from here on")
	var left []*machine
	for _, m := range f.machines {
		if m != lost {
			left = append(left, m)
		}
	}
	oldServed, newServed := 0, 0
	answers := make(chan [2]answer, counted)
	for i := range counted {
		m := left[i%len(left)]
		go func() {
			old := f.send(m, http.MethodGet, fmt.Sprintf("/history/%d", i), "", 2*time.Second)
			answers <- [2]answer{old, f.send(m, http.MethodGet, hotTarget, "", 2*time.Second)}
		}()
		time.Sleep(500 * time.Millisecond)
	}
	for range counted {
		both := <-answers
		if both[0].status == http.StatusOK {
			oldServed++
		}
		if both[1].status == http.StatusOK {
			newServed++
		}
	}
	f.note("served   %d of %d on the first routes, %d of %d on the route that was added later", oldServed, counted, newServed, counted)
	if 4*newServed < oldServed {
		why = append(why, fmt.Sprintf("CONFIG: %d of %d requests on the route that was added later were served, and %d of %d on the first routes", newServed, counted, oldServed, counted))
	}
	return why, nil
}
