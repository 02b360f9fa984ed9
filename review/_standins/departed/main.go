// Command departed has an upstream leave while the node beside it is stopped and started, as
// planned, and lets one of the upstream's earlier heartbeats arrive late. With the argument
// stopping the upstream leaves after the node's SIGTERM, with started just after its start.
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
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":360}},
{"resource_type":"routes","metadata":{"name":"refund"},"spec":{"host":"a.example","path_prefix":"/refund/","route_kind":"unsafe","timeout_s":3,"target_latency_s":0.8,"priority":1,"service":"ledger","max_attempts":2}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

	// Figures of refund-booking in the site file.
	meanWork = 270 * time.Millisecond
	deadline = 5 * time.Second

	grace        = 6 * time.Second
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
	// leavesAfter is when the upstream deregisters from a node that stops, counted from the SIGTERM.
	leavesAfter = time.Second
	// lateBy is how late the heartbeat arrives at least.
	lateBy = 2 * time.Second
	// servesOn is how long the upstream serves after its departure is acknowledged.
	servesOn = 10 * time.Second
	// interval is the time between two requests at each of the other nodes.
	interval = 90 * time.Millisecond
)

func main() {
	options := rig.Returns(config, "ledger", "ledger", "ledger")
	started := len(os.Args) > 1 && os.Args[1] == "started"
	os.Exit(rig.Main(options, func(r *rig.Rig) (bool, error) { return run(r, started) }))
}

// request is one request of a client.
type request struct {
	id     string
	sent   time.Time
	status int
	err    error
}

func run(r *rig.Rig, started bool) (bool, error) {
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

	late := &lateHeartbeat{sender: left}
	scenario := leaveWhileStopping
	if started {
		scenario = leaveAfterStart
	}
	acknowledged, inTouch, err := scenario(r, stopped, late)
	if err != nil {
		return false, err
	}
	if err := late.arrive(r); err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	left.Stop()
	exited := time.Now()
	r.Logf("upstream %s exits", left.ID())
	time.Sleep(time.Second)
	close(end)
	clients.Wait()
	return check(r, left, requests, acknowledged, inTouch, exited), nil
}

// leaveWhileStopping has the upstream leave after the SIGTERM of its node, which is then started
// again. It returns when the departure was acknowledged, and when the node is in touch.
func leaveWhileStopping(r *rig.Rig, n *rig.Node, late *lateHeartbeat) (acknowledged, inTouch time.Time, err error) {
	late.send(r)
	n.Upstream.Silence()
	if r.Trouble {
		n.Signal(syscall.SIGTERM)
	}
	time.Sleep(leavesAfter)
	acknowledged, err = leave(r, n)
	if err != nil || !r.Trouble {
		return acknowledged, acknowledged, err
	}
	waitForEnd(n)
	err = startAgain(n)
	return acknowledged, time.Now().Add(stableWindow), err
}

// leaveAfterStart has the upstream leave just after its node was stopped and started, before its
// next heartbeat. Its results are those of leaveWhileStopping.
func leaveAfterStart(r *rig.Rig, n *rig.Node, late *lateHeartbeat) (acknowledged, inTouch time.Time, err error) {
	inTouch = time.Now()
	if r.Trouble {
		n.Signal(syscall.SIGTERM)
		waitForEnd(n)
		n.Upstream.Silence()
		if err := startAgain(n); err != nil {
			return inTouch, inTouch, err
		}
		inTouch = time.Now().Add(stableWindow)
	}
	n.Upstream.Silence()
	late.send(r)
	acknowledged, err = leave(r, n)
	return acknowledged, inTouch, err
}

// lateHeartbeat is a heartbeat that is on its way for some seconds.
type lateHeartbeat struct {
	sender  *rig.Upstream
	content []byte
	sent    time.Time
}

func (h *lateHeartbeat) send(r *rig.Rig) {
	h.content, h.sent = h.sender.Message(), time.Now()
	r.Logf("upstream %s sends a heartbeat that will be late: %s", h.sender.ID(), h.content)
}

func (h *lateHeartbeat) arrive(r *rig.Rig) error {
	time.Sleep(time.Until(h.sent.Add(lateBy)))
	if !rig.Wait(2*time.Second, func() bool { return h.sender.Post("heartbeat", h.content) }) {
		return fmt.Errorf("the late heartbeat was not acknowledged")
	}
	r.Logf("the late heartbeat arrives, %.1f s after it was sent", time.Since(h.sent).Seconds())
	return nil
}

// leave has the upstream beside a node deregister, and returns when that was acknowledged.
func leave(r *rig.Rig, n *rig.Node) (time.Time, error) {
	if !rig.Wait(time.Second, func() bool { return n.Upstream.Post("deregister", n.Upstream.Departure()) }) {
		return time.Time{}, fmt.Errorf("the departure was not acknowledged")
	}
	r.Logf("%s acknowledged that %s is gone", n.Name, n.Upstream.ID())
	return time.Now(), nil
}

// waitForEnd waits until a node that was stopped has ended, and kills it after the grace time.
func waitForEnd(n *rig.Node) {
	ended := n.Ended()
	select {
	case <-ended:
	case <-time.After(grace):
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// startAgain starts a node's next process.
func startAgain(n *rig.Node) error {
	if err := n.WriteSettings(false); err != nil {
		return err
	}
	return n.Start()
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
