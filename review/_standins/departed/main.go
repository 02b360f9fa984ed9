// Command departed has an upstream leave while the node beside it is stopped and started, as
// planned, and lets one of the upstream's earlier heartbeats arrive late.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/review/_standins/rig"
)

const (
	config = `{"version":7,"resources":[
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":1500}},
{"resource_type":"routes","metadata":{"name":"refund"},"spec":{"host":"a.example","path_prefix":"/refund/","route_kind":"unsafe","timeout_s":12,"target_latency_s":1.5,"priority":1,"service":"ledger","max_attempts":2}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

	// Figures of refund-booking in the site file.
	meanWork = 550 * time.Millisecond
	deadline = 12 * time.Second

	grace        = 6 * time.Second
	drain        = 2500 * time.Millisecond
	stableWindow = 3 * time.Second
	// leavesAfter is when the upstream deregisters, counted from the SIGTERM of its node.
	leavesAfter = time.Second
	// servesOn is how long the upstream serves after its departure is acknowledged.
	servesOn = 10 * time.Second
	// interval is the time between two requests at each of the other nodes.
	interval = 60 * time.Millisecond
)

func main() {
	options := rig.Grown(config, "ledger", "ledger", "ledger")
	os.Exit(rig.Main(options, run))
}

// request is one request of a client.
type request struct {
	id     string
	sent   time.Time
	status int
	err    error
}

func run(r *rig.Rig) (bool, error) {
	for _, n := range r.Nodes {
		n.Upstream.Work = func(*http.Request) time.Duration { return meanWork }
	}
	stopped, left := r.Nodes[0], r.Nodes[0].Upstream
	var clients sync.WaitGroup
	var mu sync.Mutex
	var requests []request
	end := make(chan struct{})
	for i, n := range r.Nodes[1:] {
		clients.Go(func() { sendUntil(r, n, i, end, &clients, &mu, &requests) })
	}
	time.Sleep(2 * time.Second)

	late := left.Message() // a heartbeat that is on its way for some seconds
	r.Logf("upstream %s sends a heartbeat that will be late: %s", left.ID(), late)
	left.Silence()
	began := time.Now()
	if r.Trouble {
		stopped.Signal(syscall.SIGTERM)
	}
	time.Sleep(leavesAfter)
	if !left.Post("deregister", left.Departure()) {
		return false, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	r.Logf("%s acknowledged that %s is gone", stopped.Name, left.ID())
	inTouch := acknowledged
	if r.Trouble {
		select {
		case <-stopped.Ended():
		case <-time.After(time.Until(began.Add(grace))):
			stopped.Signal(syscall.SIGKILL)
			<-stopped.Ended()
		}
		if err := stopped.WriteSettings(false); err != nil {
			return false, err
		}
		if err := stopped.Start(); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(stableWindow)
		if !rig.Wait(5*time.Second, stopped.Ready) {
			return false, fmt.Errorf("%s is not ready after its start", stopped.Name)
		}
	} else {
		time.Sleep(4 * time.Second)
	}
	if !left.Post("heartbeat", late) {
		return false, fmt.Errorf("the late heartbeat was not acknowledged")
	}
	r.Logf("the late heartbeat arrives, %.1f s after it was sent", time.Since(began).Seconds())
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	left.Stop()
	exited := time.Now()
	r.Logf("upstream %s exits", left.ID())
	time.Sleep(time.Second)
	close(end)
	clients.Wait()
	return check(r, left, requests, acknowledged, inTouch, exited), nil
}

// sendUntil sends requests at a node until end.
func sendUntil(r *rig.Rig, n *rig.Node, client int, end <-chan struct{}, group *sync.WaitGroup, mu *sync.Mutex, requests *[]request) {
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-time.After(interval):
		}
		q := request{id: fmt.Sprintf("q%d-%d", client, i), sent: time.Now()}
		group.Go(func() {
			a, err := r.Request(fmt.Sprint("at ", n.Name), n, http.MethodPost, "/refund/shop", q.id, deadline, "refund")
			q.status, q.err = a.Status, err
			mu.Lock()
			defer mu.Unlock()
			*requests = append(*requests, q)
		})
	}
}

// check applies DRAIN to the upstream that left.
func check(r *rig.Rig, left *rig.Upstream, requests []request, acknowledged, inTouch, exited time.Time) bool {
	byID := make(map[string]request)
	for _, q := range requests {
		byID[q.id] = q
	}
	late, cut := 0, 0
	for _, run := range left.Runs() {
		q := byID[run.ID]
		if run.Began.Sub(acknowledged) <= drain || !run.Began.After(inTouch) || !q.sent.After(inTouch) {
			continue
		}
		late++
		r.Logf("DRAIN: %s reached %s %.3f s after the acknowledgement, through machines in touch; its client got %d, %v",
			run.ID, left.ID(), run.Began.Sub(acknowledged).Seconds(), q.status, q.err)
		if run.Ended.IsZero() {
			cut++
		}
	}
	r.Logf("%d requests reached the upstream that had left, %d of them were cut off when it exited after %.1f s", late, cut, exited.Sub(acknowledged).Seconds())
	fmt.Printf("DRAIN: %d requests reached an upstream later than %v after its departure was acknowledged; %d of them were cut off when it exited\n", late, drain, cut)
	return late > 0
}
