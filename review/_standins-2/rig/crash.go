package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stableWindow is stable_window_s of the settings.
	stableWindow = 3 * time.Second
	// rolls is the number of times that all nodes are stopped and started in turn.
	rolls = 3
	// rollGap is the time between two stops of a roll.
	rollGap = 2 * time.Second
	// crashTarget is the path of the request that crashes the servers that run it.
	crashTarget = "/grades/deadly"
)

// playCrash sends a request that crashes the servers that run it again and again, in calm moments with all
// machines in touch. Between them, all nodes are stopped and started in turn.
func playCrash(f *fleet, trouble bool) (why []string, err error) {
	routes := []routeOf{{"grade-query", "/grades/", "unsafe", "ledger"}}
	if err := f.deploy(5, 0, routes, "/grades/warm"); err != nil {
		return nil, err
	}
	for _, m := range f.machines {
		m.server.crashes = func(r *http.Request) bool { return r.URL.Path == crashTarget }
	}
	for window := 0; ; window++ {
		for i := range 4 {
			f.send(f.machines[(window+i)%len(f.machines)], http.MethodPost, crashTarget, "{}", 2*time.Second)
			time.Sleep(time.Second)
		}
		if window == rolls {
			break
		}
		if trouble {
			if err := f.roll(); err != nil {
				return nil, err
			}
		}
		time.Sleep(stableWindow + time.Second)
	}
	return f.crashesAfterThird(), nil
}

// roll stops and starts all nodes in turn, and waits until they are ready.
func (f *fleet) roll() error {
	var group sync.WaitGroup
	errs := make(chan error, len(f.machines))
	for _, m := range f.machines {
		group.Go(func() { errs <- f.restart(m) })
		time.Sleep(rollGap)
	}
	group.Wait()
	for range f.machines {
		if err := <-errs; err != nil {
			return err
		}
	}
	limit := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(limit) {
				return fmt.Errorf("node %s is not ready after its restart", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.note("ready    all nodes are ready after their restart")
	return nil
}

// crashesAfterThird returns why the rule was broken: the retries that reached servers later than
// stable_window_s after the third crash, if there are more than three.
func (f *fleet) crashesAfterThird() (why []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var crashed []run
	for _, r := range f.runs {
		if r.target == crashTarget {
			crashed = append(crashed, r)
		}
	}
	late := 0
	for i, r := range crashed {
		if i > 2 && r.at.Sub(crashed[2].at) > stableWindow {
			late++
		}
	}
	fmt.Fprintf(f.record, "         the request crashed %d servers, %d of them later than 3 s after the third\n", len(crashed), late)
	if late > 3 {
		why = append(why, fmt.Sprintf("BUDGET: the request crashed %d servers; %d retries reached servers later than 3 s after the third crash", len(crashed), late))
	}
	return why
}
