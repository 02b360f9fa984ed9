// Command pipelined stops and starts the nodes in turn, as planned, each while a client waits for
// the answers to safe requests that it sent one behind the other.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/review/_standins/rig"
)

const (
	config = `{"version":7,"resources":[
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":3600}},
{"resource_type":"routes","metadata":{"name":"history"},"spec":{"host":"a.example","path_prefix":"/history/","route_kind":"safe","timeout_s":12,"target_latency_s":2,"priority":2,"service":"ledger","max_attempts":2}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

	// Figures of pickup-history in the site file: the mean and the longest work, and the deadline.
	meanWork    = 530 * time.Millisecond
	longestWork = 4000 * time.Millisecond
	deadline    = 12 * time.Second

	grace = 10 * time.Second
	// rounds is the number of planned stops, and depth the number of requests in flight at each.
	rounds = 12
	depth  = 8
)

func main() {
	options := rig.Large(config, "ledger", "ledger", "ledger")
	os.Exit(rig.Main(options, run))
}

func run(r *rig.Rig) (bool, error) {
	for _, n := range r.Nodes {
		n.Upstream.Work = func(q *http.Request) time.Duration {
			if strings.HasSuffix(q.URL.Path, "/long") {
				return longestWork
			}
			return meanWork
		}
	}
	lost, stops := 0, 0
	for round := range rounds {
		count, err := stopOnce(r, round)
		if err != nil {
			return false, err
		}
		lost += count
		if count > 0 {
			stops++
		}
	}
	r.Logf("%d requests lost at %d of %d planned stops", lost, stops, rounds)
	fmt.Printf("LOST: %d requests that upstreams had run and answered got no answer, at %d of %d planned stops\n", lost, stops, rounds)
	return lost > 0, nil
}

// outcome is what a client got for one request.
type outcome struct {
	id       string
	sent     time.Time
	answered bool
	ended    time.Time
}

// stopOnce stops and starts one node, and returns the number of requests lost by it.
func stopOnce(r *rig.Rig, round int) (int, error) {
	n := r.Nodes[round%len(r.Nodes)]
	c, err := r.Dial(fmt.Sprint("c", round), n)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	var outcomes []outcome
	for i := range depth {
		o := outcome{id: fmt.Sprintf("c%d-%d", round, i)}
		path := "/history/shop"
		if i == 0 {
			path = "/history/long"
		}
		if err := c.Send(http.MethodGet, path, o.id, deadline, ""); err != nil {
			return 0, err
		}
		o.sent = c.SentAt(o.id)
		outcomes = append(outcomes, o)
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	if r.Trouble {
		n.Signal(syscall.SIGTERM)
	}
	for i := range outcomes {
		a, err := c.Read(stopped.Add(deadline))
		outcomes[i].ended = time.Now()
		if err != nil {
			break
		}
		outcomes[i].answered = a.ID == outcomes[i].id
	}
	ended := time.Now()
	if r.Trouble {
		if err := startAgain(n, stopped); err != nil {
			return 0, err
		}
	}
	return check(r, outcomes, stopped, ended), nil
}

// startAgain waits for the end of a node that was stopped, and starts it again.
func startAgain(n *rig.Node, stopped time.Time) error {
	select {
	case <-n.Ended():
	case <-time.After(time.Until(stopped.Add(grace))):
		n.Signal(syscall.SIGKILL)
		<-n.Ended()
	}
	if err := n.WriteSettings(false); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	if !rig.Wait(10*time.Second, n.Ready) {
		return fmt.Errorf("%s is not ready after its start", n.Name)
	}
	time.Sleep(time.Second)
	return nil
}

// check applies LOST to the requests of one client around the stop of its node.
func check(r *rig.Rig, outcomes []outcome, stopped, ended time.Time) (lost int) {
	runs := make(map[string]rig.Run)
	for _, n := range r.Nodes {
		for _, run := range n.Upstream.Runs() {
			runs[run.ID] = run
		}
	}
	for _, o := range outcomes {
		run, passedOn := runs[o.id]
		switch {
		case o.answered || !passedOn:
			continue
		case ended.Sub(o.sent) >= deadline || ended.Sub(stopped) > grace+time.Second:
			continue // its deadline was reached, or its end is no part of the stop any more
		case run.Ended.IsZero() || run.Ended.Sub(stopped) > grace*5/6:
			continue // its upstream was still at work in the last sixth of the grace time
		}
		lost++
		r.Logf("LOST %s: sent %.3f s before the stop; its upstream answered %.3f s after the stop; its connection ended without an answer %.3f s after the stop",
			o.id, stopped.Sub(o.sent).Seconds(), run.Ended.Sub(stopped).Seconds(), ended.Sub(stopped).Seconds())
	}
	return lost
}
