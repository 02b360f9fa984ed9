// Command silent stops a node as planned while upstreams are at work on some of the longest
// requests of a safe route.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/review/_standins/rig"
)

const (
	config = `{"version":7,"resources":[
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":360}},
{"resource_type":"routes","metadata":{"name":"history"},"spec":{"host":"a.example","path_prefix":"/history/","route_kind":"safe","timeout_s":4,"target_latency_s":0.8,"priority":2,"service":"ledger","max_attempts":1}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

	// usualWork is the work of a short pickup-history. longWork is that of the longest in the
	// site file, 1,600 ms, at an upstream that is twice as slow as usual (cold_x).
	usualWork = 150 * time.Millisecond
	longWork  = 3200 * time.Millisecond
	deadline  = 4 * time.Second

	grace = 6 * time.Second
	// usual is the number of usual requests before, at each node one after the other.
	usual = 30
	// long is the number of long requests, each over a connection of its own.
	long = 4
)

func main() {
	options := rig.Returns(config, "ledger", "ledger", "ledger")
	os.Exit(rig.Main(options, run))
}

// outcome is what a client got for a long request.
type outcome struct {
	id          string
	sent, ended time.Time
	answer      rig.Answer
	err         error
}

func run(r *rig.Rig) (bool, error) {
	for _, n := range r.Nodes {
		n.Upstream.Work = func(q *http.Request) time.Duration {
			if strings.HasSuffix(q.URL.Path, "/long") {
				return longWork
			}
			return usualWork
		}
	}
	var group sync.WaitGroup
	for k, n := range r.Nodes {
		group.Go(func() {
			for i := range usual {
				_, _ = r.Request("usual", n, http.MethodGet, fmt.Sprintf("/history/shop%d-%d", k, i), fmt.Sprintf("u%d-%d", k, i), deadline, "")
			}
		})
	}
	group.Wait()

	n := r.Nodes[0]
	outcomes := make([]outcome, long)
	for i := range outcomes {
		o := &outcomes[i]
		o.id = fmt.Sprint("long", i)
		c, err := r.Dial(o.id, n)
		if err != nil {
			return false, err
		}
		defer c.Close()
		if err := c.Send(http.MethodGet, fmt.Sprintf("/history/shop%d/long", i), o.id, deadline, ""); err != nil {
			return false, err
		}
		o.sent = c.SentAt(o.id)
		group.Go(func() {
			o.answer, o.err = c.Read(o.sent.Add(deadline + time.Second))
			o.ended = time.Now()
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if r.Trouble {
		n.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-n.Ended():
			case <-time.After(grace):
				n.Signal(syscall.SIGKILL)
			}
		}()
	}
	group.Wait()
	return check(r, outcomes, stopped), nil
}

// check applies LOST around a SIGTERM of the machine that took the requests.
func check(r *rig.Rig, outcomes []outcome, stopped time.Time) bool {
	runs := make(map[string]rig.Run)
	for _, n := range r.Nodes {
		for _, run := range n.Upstream.Runs() {
			runs[run.ID] = run
		}
	}
	broken := 0
	for _, o := range outcomes {
		run, passedOn := runs[o.id]
		served := o.err == nil && o.answer.Signature != ""
		switch {
		case served || !passedOn || !run.Ended.IsZero():
			continue
		case o.ended.Sub(o.sent) >= deadline, o.ended.Sub(stopped) > grace*5/6:
			continue // its deadline was reached, or its upstream worked into the last sixth of the grace time
		}
		broken++
		r.Logf("%s was broken off %.3f s after its upstream began to work on it, %.3f s before its deadline; its client got %d without a signature, %.3f s after the stop",
			o.id, o.ended.Sub(run.Began).Seconds(), deadline.Seconds()-o.ended.Sub(o.sent).Seconds(), o.answer.Status, o.ended.Sub(stopped).Seconds())
	}
	r.Logf("%d of %d requests were broken off while their upstream was at work", broken, len(outcomes))
	if !r.Trouble {
		fmt.Printf("no stop: %d of %d requests were broken off while their upstream was at work, which LOST does not count\n", broken, len(outcomes))
		return false
	}
	fmt.Printf("LOST: after a SIGTERM %d of %d requests were given up at which their upstream was at work\n", broken, len(outcomes))
	return broken > 0
}
