// Command endless has one upstream give two answers without end, while clients send safe
// requests one behind the other.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptally.example/cowsliptally/review/_standins/rig"
)

const (
	config = `{"version":7,"resources":[
{"resource_type":"services","metadata":{"name":"ledger"},"spec":{"health_path":"/health","max_connections":3600}},
{"resource_type":"routes","metadata":{"name":"history"},"spec":{"host":"a.example","path_prefix":"/history/","route_kind":"safe","timeout_s":5,"target_latency_s":2,"priority":2,"service":"ledger","max_attempts":2}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`

	// Figures of pickup-history in the site file. The route's timeout is 5 s.
	meanWork = 530 * time.Millisecond
	deadline = 12 * time.Second
	timeout  = 5 * time.Second
	// clients is the number of connections, and depth the number of requests that follow the
	// first on each, later times pause after it.
	clients = 8
	depth   = 8
	pause   = 3 * time.Second
	// endless is the number of answers without end: of 72, those of one upstream in three.
	endless = 2
	// allowed is the number of requests that LOST allows.
	allowed = 3
)

func main() {
	options := rig.Large(config, "ledger", "ledger", "ledger")
	os.Exit(rig.Main(options, run))
}

// answerWithoutEnd sends the head of an answer and a body that never ends.
func answerWithoutEnd(w http.ResponseWriter, q *http.Request) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	id := q.Header.Get("X-Attempt-Id")
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signed.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	part := append(append([]byte("1000\r\n"), bytes.Repeat([]byte("?"), 0x1000)...), "\r\n"...)
	for err == nil {
		_, err = conn.Write(part)
		time.Sleep(time.Millisecond) // about 4 MB a second
	}
	return true
}

func run(r *rig.Rig) (bool, error) {
	troubled := r.Nodes[2].Upstream
	// pending is the number of answers without end that the upstream in trouble has yet to give.
	var pending atomic.Int64
	for _, n := range r.Nodes {
		n.Upstream.Work = func(*http.Request) time.Duration { return meanWork }
	}
	troubled.Hijack = func(w http.ResponseWriter, q *http.Request) bool {
		return pending.Add(-1) >= 0 && answerWithoutEnd(w, q)
	}
	if r.Trouble {
		pending.Store(endless)
	}

	var group sync.WaitGroup
	var mu sync.Mutex
	lost, given := 0, 0
	for k := range clients {
		n := r.Nodes[k%2]
		c, err := r.Dial(fmt.Sprint("c", k), n)
		if err != nil {
			return false, err
		}
		defer c.Close()
		group.Go(func() {
			ids, err := send(c, k)
			if err != nil {
				r.Logf("client %d: %v", k, err)
				return
			}
			answered := read(c, ids)
			mu.Lock()
			defer mu.Unlock()
			given += len(ids)
			lost += check(r, c, troubled, ids[answered:])
		})
	}
	group.Wait()
	r.Logf("%d of %d requests lost", lost, given)
	fmt.Printf("LOST: %d requests were run and answered by a sound upstream, and the node closed their connection without an answer (%d are allowed)\n", lost, allowed)
	return lost > allowed, nil
}

// send sends a request and, some seconds later, those behind it. It returns their identifiers.
func send(c *rig.Client, client int) ([]string, error) {
	var ids []string
	for i := range 1 + depth {
		if i == 1 {
			time.Sleep(pause)
		}
		id := fmt.Sprintf("c%d-%d", client, i)
		if err := c.Send(http.MethodGet, fmt.Sprintf("/history/shop%d-%d", client, i), id, deadline, ""); err != nil {
			return nil, err
		}
		ids = append(ids, id)
		time.Sleep(3 * time.Millisecond)
	}
	return ids, nil
}

// read reads answers until the connection ends, and returns how many were complete.
func read(c *rig.Client, ids []string) int {
	for i, id := range ids {
		a, err := c.Read(c.SentAt(id).Add(deadline))
		if err != nil || a.ID != id {
			return i
		}
	}
	return len(ids)
}

// check returns the number of requests that a sound upstream ran and answered, and whose
// connection ended without an answer before their own time was over.
func check(r *rig.Rig, c *rig.Client, troubled *rig.Upstream, ids []string) (lost int) {
	ended := time.Now()
	for _, id := range ids {
		for _, n := range r.Nodes {
			if n.Upstream == troubled {
				continue
			}
			for _, run := range n.Upstream.Runs() {
				if run.ID != id || run.Ended.IsZero() || ended.Sub(c.SentAt(id)) >= timeout-100*time.Millisecond {
					continue
				}
				lost++
				r.Logf("LOST %s: answered by %s %.3f s after it was sent; its connection was closed without an answer %.3f s after it was sent",
					id, n.Upstream.ID(), run.Ended.Sub(c.SentAt(id)).Seconds(), ended.Sub(c.SentAt(id)).Seconds())
			}
		}
	}
	return lost
}
