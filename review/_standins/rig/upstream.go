package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that an upstream began to work on.
type Run struct {
	ID, Caller, Method, Path string
	Body                     []byte
	Began, Ended             time.Time
}

// Upstream is a sound upstream: it runs up to its slots at a time and queues the rest.
type Upstream struct {
	// Service is the service that the upstream announces.
	Service string

	rig    *Rig
	node   *Node
	slots  chan struct{}
	server *http.Server

	// Work returns how long a request takes; it may be replaced before Start.
	Work func(*http.Request) time.Duration
	// Hijack may answer a request instead; it reports whether it did.
	Hijack func(http.ResponseWriter, *http.Request) bool

	mu       sync.Mutex
	id       string
	born     int64
	sequence uint64
	state    string
	silent   bool
	runs     []*Run
}

func newUpstream(r *Rig, n *Node, service string, slots int) *Upstream {
	return &Upstream{
		rig: r, node: n, Service: service, slots: make(chan struct{}, slots), id: "i-" + n.Name, state: "ready",
		Work: func(*http.Request) time.Duration { return 100 * time.Millisecond },
	}
}

// Start listens and announces the upstream from now on.
func (u *Upstream) Start() error {
	u.born = time.Now().UnixMilli()
	listener, err := net.Listen("tcp", u.Address())
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	go u.announce()
	return nil
}

// Address is where the upstream serves.
func (u *Upstream) Address() string { return fmt.Sprintf("%s:%d", u.node.IP, upstreamPort) }

// Runs returns the runs so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var runs []Run
	for _, run := range u.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ID is the upstream's id.
func (u *Upstream) ID() string { return u.id }

// Silence ends the upstream's heartbeats; it goes on serving.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
}

// Departure returns the body of a deregistration.
func (u *Upstream) Departure() []byte {
	content, _ := json.Marshal(map[string]any{"born": u.born})
	return content
}

// Stop ends the upstream: its listener and all connections close.
func (u *Upstream) Stop() {
	u.Silence()
	_ = u.server.Close()
}

func (u *Upstream) announce() {
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if silent {
			return
		}
		if u.Beat() {
			time.Sleep(1500 * time.Millisecond)
		} else {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// Message returns the next heartbeat.
func (u *Upstream) Message() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	content, _ := json.Marshal(map[string]any{
		"address": u.Address(), "born": u.born,
		"info":   map[string]any{"service": u.Service, "version": "v1", "zone": "suwon", "slots": cap(u.slots)},
		"status": map[string]any{"state": u.state, "sequence": u.sequence, "cold_remaining_s": 0},
	})
	return content
}

// Beat sends a heartbeat and reports whether it was acknowledged.
func (u *Upstream) Beat() bool { return u.Post("heartbeat", u.Message()) }

// Post calls the control plane of the machine's node.
func (u *Upstream) Post(call string, content []byte) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Post(fmt.Sprintf("http://%s:%d/cowsliptally/instances/%s/%s", u.node.IP, controlPort, u.id, call),
		"application/json", bytes.NewReader(content))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode/100 == 2
}

// ServeHTTP serves one request as the pages say.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	run := &Run{ID: id, Caller: r.Header.Get("X-Caller-Service"), Method: r.Method, Path: r.URL.RequestURI(), Body: body, Began: time.Now()}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	u.mu.Unlock()
	u.rig.Logf("upstream %s runs %s", u.id, id)
	if u.Hijack != nil && u.Hijack(w, r) {
		return
	}
	select {
	case <-time.After(u.Work(r)):
	case <-r.Context().Done():
		u.rig.Logf("upstream %s drops %s: its connection closed", u.id, id)
		return
	}
	u.mu.Lock()
	run.Ended = time.Now()
	u.mu.Unlock()
	u.rig.Logf("upstream %s answers %s", u.id, id)
	w.Header().Set("X-Server-Signature", "signed."+u.id+"."+id)
	fmt.Fprintf(w, "answer to %s from %s", id, u.id)
}
